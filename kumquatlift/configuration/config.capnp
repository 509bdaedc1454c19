@0xd1f0a3b7c2e94856;
# Messages and stored state of the configuration register.

struct Ballot {
  number @0 :UInt64;
  proposer @1 :Text;
}

struct Change {
  id @0 :Text;
  version @1 :UInt64;
  code @2 :UInt16;
  digest @3 :Text;
  operator @4 :Text;
  atMs @5 :UInt64;
}

struct Value {
  # Version 0 stands for no value.
  version @0 :UInt64;
  document @1 :Text;
  changes @2 :List(Change);
  register @3 :Text;
}

struct VoterState {
  register @0 :Text;
  promised @1 :Ballot;
  accepted @2 :Ballot;
  value @3 :Value;
  nonce @4 :Text;
  confirmed @5 :Text;
}

struct Prepare {
  register @0 :Text;
  ballot @1 :Ballot;
}

struct Promise {
  ballot @0 :Ballot;
  accepted @1 :Ballot;
  value @2 :Value;
}

struct Accept {
  register @0 :Text;
  ballot @1 :Ballot;
  value @2 :Value;
}

struct Accepted {
  ballot @0 :Ballot;
}

struct Refusal {
  register @0 :Text;
  promised @1 :Ballot;
}

struct Nonce {
  voter @0 :Text;
  nonce @1 :Text;
}

struct Read {
  # Asks for the status of the voter, and for the value in force if its version is higher than
  # newerThan. The voter confirms the evidence first.
  newerThan @0 :UInt64;
  evidence @1 :List(Nonce);
}

struct VoterStatus {
  register @0 :Text;
  accepted @1 :Ballot;
  version @2 :UInt64;
  nonce @3 :Text;
  confirmed @4 :Text;
}

struct ReadAnswer {
  isVoter @0 :Bool;
  status @1 :VoterStatus;
  value @2 :Value;
}

struct Message {
  union {
    prepare @0 :Prepare;
    promise @1 :Promise;
    accept @2 :Accept;
    accepted @3 :Accepted;
    refusal @4 :Refusal;
    read @5 :Read;
    readAnswer @6 :ReadAnswer;
    value @7 :Value;
    voterState @8 :VoterState;
  }
}
