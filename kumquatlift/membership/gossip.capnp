@0xb7f0c41d92e65a37;

# One UDP datagram between two entry processes, in packed encoding.
struct Gossip {
  # Key, heartbeat counter and configuration version of the sending process. A key is the first three
  # bytes of a hash of the record without its configuration version and counter, so that a changed
  # record has another key.
  sender @0 :UInt32;
  counter @1 :UInt32;
  configVersion @2 :UInt32;
  # Heartbeats of other processes known to the sender. The low eight bits of each number are the last
  # eight bits of the counter; the bits above are the key.
  heard @3 :List(UInt32);
  # Keys whose records the receiver should send back.
  wanted @4 :List(UInt32);
  records @5 :List(Record);

  struct Record {
    name @0 :Text;
    zone @1 :Text;
    callers @2 :Text;
    runners @3 :Text;
    peers @4 :Text;
    incarnation @5 :Text;
    isLeaving @6 :Bool;
    configVersion @7 :UInt32;
    counter @8 :UInt32;
  }
}
