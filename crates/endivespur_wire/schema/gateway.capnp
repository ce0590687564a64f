@0xb7e4c2a19d3f5086;
# Calls between gateways: the owner of an engine grants requests, and those that watch the
# store tell the others its changes.

struct Part {
  id @0 :Text;
  tokens @1 :UInt64;
}

struct Ask {
  endpoint @0 :Text;
  base @1 :Text;
  adapter @2 :Text;       # empty for the base model alone
  tokens @3 :UInt64;
  parts @4 :List(Part);
  bounded @5 :Bool;       # whether maxBacklogMs applies
  maxBacklogMs @6 :UInt32;
  waitMs @7 :UInt32;
  onlyResident @8 :Bool;
  dueMs @9 :UInt32;
}

struct Reply {
  union {
    granted @0 :UInt64;
    busyMs @1 :UInt32;
    notOwner @2 :Void;
    late @3 :Void;
  }
}

struct Item {
  key @0 :Text;
  present @1 :Bool;       # whether value applies; otherwise the key was removed
  value @2 :Data;
  revision @3 :UInt64;
}

struct Changes {
  items @0 :List(Item);
  revision @1 :UInt64;
  settlingMs @2 :UInt32;  # for how long registrations that have ended may come back
  large @3 :List(Text);   # the keys whose values are to be read from the store
}

struct News {
  union {
    changes @0 :Changes;
    compacted @1 :Void;
    away @2 :Void;        # the gateway does not hear the store itself
  }
}

interface Gateway {
  ask @0 (ask :Ask) -> (reply :Reply);
  release @1 (endpoint :Text, base :Text, adapter :Text, grant :UInt64, missing :Bool) -> ();
  began @2 (endpoint :Text, grant :UInt64) -> ();
  # The changes of the store after a revision, at the latest after waitMs; with whole, large
  # values too.
  follow @3 (after :UInt64, waitMs :UInt32, whole :Bool) -> (news :News);
  # An endpoint crashed while it ran the request with this fingerprint.
  crashed @4 (print :UInt64) -> ();
}
