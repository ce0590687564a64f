@0xd2f1a3c5b7e90421;
# Calls between the daemons.

struct Ask {
  endpoint @0 :Text;
  entry @1 :Text;
  organisation @2 :Text;
  weight @3 :UInt32;
  adapter @4 :Text;      # empty for a plain call
  version @5 :UInt32;
  class @6 :UInt8;
  cost @7 :UInt32;       # tokens
  waitMs @8 :UInt32;
  alone @9 :Bool;
  patient @10 :Bool;     # waits where no slot can be freed
  id @11 :UInt64;        # names the ask for a cancel
}

struct Grant {
  id @0 :UInt64;
  fence @1 :UInt64;
  slot @2 :Text;         # empty for a plain call
}

struct Refusal {
  reason @0 :Text;
  retryMs @1 :UInt32;
}

struct Answer {
  union {
    grant @0 :Grant;
    refusal @1 :Refusal;
  }
}

struct Held {
  fence @0 :UInt64;
  id @1 :UInt64;
  slot @2 :Text;
}

struct Want {
  adapter @0 :Text;
  version @1 :UInt32;
  class @2 :UInt8;
  waiting @3 :UInt32;
  ageMs @4 :UInt32;
  leftMs @5 :UInt32;
  organisation @6 :Text;
}

interface Node {
  ask @0 (ask :Ask) -> (answer :Answer);
  end @1 (endpoint :Text, fence :UInt64, grant :UInt64, missing :Bool) -> ();
  held @2 (endpoint :Text, fence :UInt64) -> (grants :List(Held));
  wants @3 (vm :Text, endpoint :Text, wants :List(Want)) -> (backlogMs :List(UInt32));
  # By class, the most urgent first.
  permit @4 (endpoint :Text, adapter :Text, version :UInt32) -> (started :Bool);
  landed @5 (endpoint :Text, adapter :Text, version :UInt32) -> ();
  judge @6 (print :UInt64) -> (verdict :UInt8);
  ran @7 (print :UInt64, endpoint :Text, attempt :UInt64, crashed :Bool) -> ();
  changes @8 (after :UInt64) -> (revision :UInt64, entries :Text);
  promise @9 (vm :Text) -> (ms :UInt32, revision :UInt64);
  query @10 (line :Text) -> (result :Text);
  cancel @11 (endpoint :Text, entry :Text, id :UInt64) -> ();
  giveUp @12 (print :UInt64) -> ();
}

interface Gate {
  login @0 (token :Text) -> (node :Node);
}
