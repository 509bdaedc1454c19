@0xd4c7a5b19e3f2861;

# Content of a frame between two processes. On the wire it follows its length in bytes, a 32-bit
# little-endian integer. A frame of length 0 has no envelope and is a heartbeat.
struct Envelope {
  kind @0 :Kind;
  # Number of the call, unique in the calling process; its answer has the same number. It is 0 in a
  # hello or notice.
  id @1 :UInt64;
  # Topic of a request or notice; in a hello, the name of the sending process.
  topic @2 :Text;
  # Body of a request, notice or answer; the reason in UTF-8 if refused or failed.
  body @3 :Data;

  enum Kind {
    hello @0;
    request @1;
    notice @2;
    answer @3;
    # Answer to a request whose handler was not started.
    refused @4;
    # Answer to a request whose handler raised an exception.
    failed @5;
  }
}
