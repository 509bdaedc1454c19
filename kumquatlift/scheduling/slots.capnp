@0xd0c3a51f7e2b9841;

# Requester to owner: changes since the last message or, with `full`, the whole state.
struct SlotDemands {
  service @0 :Text;
  zone @1 :Text;
  demands @2 :List(Demand);
  cancelled @3 :List(Cancel);
  finished @4 :List(Finish);
  full @5 :Bool;
  held @6 :List(Text);
  asksLoad @7 :Bool;
  totalSlots @8 :UInt32;
  sentMs @9 :UInt64;

  struct Demand {
    id @0 :Text;
    kind @1 :Text;
    team @2 :Text;
    count @3 :UInt16;
    urgency @4 :UInt8;
    deadlineMs @5 :UInt32;
    expectedMs @6 :UInt32;
    waitedMs @7 :UInt32;
  }

  # A count of 0 withdraws the whole demand.
  struct Cancel {
    demand @0 :Text;
    count @1 :UInt16;
  }

  struct Finish {
    grant @0 :Text;
    outcome @1 :UInt8;
    runMs @2 :Float32;
  }
}

# Owner to requester: grants, refused demands and the load of the zone.
struct SlotGrants {
  service @0 :Text;
  zone @1 :Text;
  grants @2 :List(Grant);
  refused @3 :List(Refusal);
  load @4 :Load;
  heardMs @5 :UInt64;

  struct Grant {
    id @0 :Text;
    demand @1 :Text;
    runner @2 :Text;
    address @3 :Text;
  }

  struct Refusal {
    demand @0 :Text;
    code @1 :UInt16;
    reason @2 :Text;
    retryAfterMs @3 :UInt32;
  }

  struct Load {
    slots @0 :UInt32;
    free @1 :UInt32;
    queued @2 :UInt32;
    expectedMs @3 :Float32;
    freeSlots @4 :List(FreeSlots);
  }

  # Free slots of one runner; the list starts with the fastest runner.
  struct FreeSlots {
    count @0 :UInt16;
    runMs @1 :Float32;
  }
}
