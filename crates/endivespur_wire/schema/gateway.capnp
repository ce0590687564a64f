@0xb7e4c2a19d3f5086;
# Calls between gateways: the owner of an engine grants requests.

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

interface Owner {
  ask @0 (ask :Ask) -> (reply :Reply);
  release @1 (endpoint :Text, base :Text, adapter :Text, grant :UInt64, missing :Bool) -> ();
  began @2 (endpoint :Text, grant :UInt64) -> ();
  # What this gateway knows from the store, as JSON; empty while the store is away for it too.
  known @3 () -> (text :Text);
  # An endpoint crashed while it ran the request with this fingerprint.
  crashed @4 (print :UInt64) -> ();
}
