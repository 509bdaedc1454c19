@0xc1f5a7d2b3e94860;

struct Record {
  key @0 :Text;
  digest @1 :Data;
  remainingMs @2 :Int64;
  code @3 :UInt16;
  answer @4 :Data;
}

struct Append {
  ledger @0 :Text;
  opens @1 :Text;
  seal @2 :Bool;
  records @3 :List(Record);
}

struct AppendReply {
  status @0 :UInt8;
  fenced @1 :Bool;
  refused @2 :List(UInt32);
}

struct JobAsk {
  jobId @0 :Text;
  ledger @1 :Text;
  key @2 :Text;
  role @3 :UInt8;
  digest @4 :Data;
  remainingMs @5 :Int64;
  request @6 :Data;
}

struct JobResponse {
  kind @0 :UInt8;
  jobId @1 :Text;
  digest @2 :Data;
  answer @3 :Data;
  ledger @4 :Text;
  key @5 :Text;
}
