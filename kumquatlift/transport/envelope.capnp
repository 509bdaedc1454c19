@0xd4c7a5b19e3f2861;

# One frame between two entry processes, after its four-byte length (little endian, of the envelope
# alone). A frame of length zero is a heartbeat.
struct Envelope {
  kind @0 :Kind;
  # Number of the call, unique in the process that made it; an answer repeats it.
  id @1 :UInt64;
  # Topic of a request or a notice; name of the sending process in a hello.
  topic @2 :Text;
  # Body of a request, notice or answer; a reason in UTF-8 when refused or failed.
  body @3 :Data;

  enum Kind {
    hello @0;
    request @1;
    notice @2;
    answer @3;
    # The handler was not started.
    refused @4;
    # The handler started and raised.
    failed @5;
  }
}
