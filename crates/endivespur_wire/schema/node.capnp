@0xd2f1a3c5b7e90421;
# Calls between node daemons.

# A request for a grant, from the entry node to the endpoint's owner.
struct Ask {
  endpoint @0 :Text;
  entry @1 :Text;        # the entry process that asks
  organisation @2 :Text;
  weight @3 :UInt32;     # of the organisation, for deficit round robin
  adapter @4 :Text;      # empty for a plain call
  version @5 :UInt32;
  class @6 :UInt8;
  cost @7 :UInt32;       # expected tokens, prompt and output
  waitMs @8 :UInt32;     # the time until the request's deadline
  alone @9 :Bool;        # must run alone: suspected of crashing endpoints
  patient @10 :Bool;     # waits even if no slot can be freed
  id @11 :UInt64;        # identifies the request in a cancel call
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

# A grant that an entry process holds.
struct Held {
  fence @0 :UInt64;
  id @1 :UInt64;
  slot @2 :Text;
}

# The requests that wait for an adapter on an endpoint.
struct Want {
  adapter @0 :Text;
  version @1 :UInt32;
  class @2 :UInt8;       # the most urgent class that waits
  waiting @3 :UInt32;    # the number of waiting requests
  ageMs @4 :UInt32;      # the age of the oldest request
  leftMs @5 :UInt32;     # the time until the earliest deadline
  organisation @6 :Text; # the organisation that has waited longest
}

# The answer to borrow.
struct Loan {
  union {
    amount @0 :UInt64;    # at least what was needed
    waitMs @1 :UInt32;    # the time until there may be as much as is needed
    unknown @2 :Void;     # the node lends nothing of this quota
  }
  validMs @3 :UInt32;     # for how long the amount may be used
}

interface Node {
  # Requests a grant from the endpoint's owner.
  ask @0 (ask :Ask) -> (answer :Answer);
  # Ends a grant; with missing, the engine did not have the adapter.
  end @1 (endpoint :Text, fence :UInt64, grant :UInt64, missing :Bool) -> ();
  # Returns the grants that this entry process holds; it refuses grants with a lower fence from
  # then on.
  held @2 (endpoint :Text, fence :UInt64) -> (grants :List(Held));
  # Replaces the demands of an endpoint at the scheduler; returns the backlog by class, the most
  # urgent first.
  wants @3 (vm :Text, endpoint :Text, wants :List(Want)) -> (backlogMs :List(UInt32));
  # Permits the owner to start a load; returns whether it was started.
  permit @4 (endpoint :Text, adapter :Text, version :UInt32) -> (started :Bool);
  # Reports to the scheduler that a load has ended.
  landed @5 (endpoint :Text, adapter :Text, version :UInt32) -> ();
  # Returns how a request with this fingerprint (print) must run.
  judge @6 (print :UInt64) -> (verdict :UInt8);
  # Reports whether a request crashed the endpoint that ran it; message is 0 for the fingerprint of
  # the whole request, and otherwise the number of the message that the fingerprint identifies;
  # request is the fingerprint of the whole request.
  ran @7 (print :UInt64, endpoint :Text, attempt :UInt64, crashed :Bool, message :UInt32,
      request :UInt64) -> ();
  # Returns the current revision, and the records after a revision as JSON.
  changes @8 (after :UInt64) -> (revision :UInt64, entries :Text);
  # Promises to take no endpoint over for ms, which is 0 while the store answers; also returns the
  # known revision.
  promise @9 (vm :Text) -> (ms :UInt32, revision :UInt64);
  # Returns this node's part of the answer to an operator's query, as JSON.
  query @10 (line :Text) -> (result :Text);
  # Cancels a waiting request.
  cancel @11 (endpoint :Text, entry :Text, id :UInt64) -> ();
  # Reports that a run alone was abandoned before it started.
  giveUp @12 (print :UInt64) -> ();
  # Borrows an amount of an organisation's quota from the node that keeps it.
  borrow @13 (organisation :Text, needed :UInt64, wanted :UInt64) -> (loan :Loan);
  # Gives back what was not used of a loan.
  giveBack @14 (organisation :Text, amount :UInt64) -> ();
}

# Returns the node's interface to a peer that presents the nodes' token.
interface Gate {
  login @0 (token :Text) -> (node :Node);
}
