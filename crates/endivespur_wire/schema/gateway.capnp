@0xb7e4c2a19d3f5086;
# Calls between gateways: the owner of an engine grants requests, and the gateways that watch
# the store send its changes to the others.

# A part of the prompt, for the estimate of cached prefixes.
struct Part {
  id @0 :Text;
  tokens @1 :UInt64;
}

# A request for a grant.
struct Ask {
  endpoint @0 :Text;
  base @1 :Text;
  adapter @2 :Text;       # empty for the base model alone
  tokens @3 :UInt64;      # of the prompt
  parts @4 :List(Part);
  bounded @5 :Bool;       # whether maxBacklogMs applies
  maxBacklogMs @6 :UInt32;  # the longest acceptable delay
  waitMs @7 :UInt32;      # how long the request may wait for a grant
  onlyResident @8 :Bool;  # grant only if the adapter is already resident
  dueMs @9 :UInt32;       # the time left to send the prompt and still meet the objective
  maxPauseMs @10 :UInt32; # the longest pause between two events that meets the objective; 0 if any does
  outputTokens @11 :UInt64;  # the maximum number of output tokens; 0 if it is not known
  endMs @12 :UInt32;      # the time left until the response must be complete; 0 if it is not known
  team @13 :Text;         # empty if there are no teams
}

struct Reply {
  union {
    granted @0 :UInt64;   # the number of the grant
    busyMs @1 :UInt32;    # try another engine first; the estimated delay at this one
    notOwner @2 :Void;
    late @3 :Void;        # the adapter was not ready within waitMs
  }
}

# A changed key of the store.
struct Item {
  key @0 :Text;
  present @1 :Bool;       # whether value is set; otherwise the key was deleted
  value @2 :Data;
  revision @3 :UInt64;
}

struct Changes {
  items @0 :List(Item);
  revision @1 :UInt64;
  settlingMs @2 :UInt32;  # for how long expired registrations may still be renewed
  large @3 :List(Text);   # keys whose values must be read from the store
}

# The answer to follow.
struct News {
  union {
    changes @0 :Changes;
    compacted @1 :Void;   # changes since the revision are no longer kept; list all keys
    away @2 :Void;        # the gateway receives nothing from the store itself
  }
}

# The answer to borrow.
struct Loan {
  union {
    amount @0 :UInt64;    # at least what was needed
    waitMs @1 :UInt32;    # the time until there may be as much as is needed
    unknown @2 :Void;     # the gateway does not know the team
  }
  validMs @3 :UInt32;     # for how long the amount may be used
}

# What the owner of an engine predicts for a request, without granting it.
struct Forecast {
  union {
    predicted :group {
      delayMs @0 :UInt32;        # before the engine begins with the prompt
      firstEventMs @1 :UInt32;   # until the first event
      pauseMs @2 :UInt32;        # the longest pause between two events of the response
      endMs @3 :UInt32;          # until the response is complete; 0 if it is not known
      resident @4 :Bool;         # whether the engine holds the adapter
      isRefused @5 :Bool;        # whether the request would not be granted
      loadAgeMs @6 :UInt32;      # the age of the last load figure; 0 if there is none
      slowdown @7 :UInt32;       # the last load figure in percent; 0 if there is none
    }
    notOwner @8 :Void;
  }
}

# The shards of a team's quota that a gateway keeps.
struct Standing {
  shards @0 :UInt32;      # the shards that it lends
  total @1 :UInt32;       # the shards of the quota; 0 if the gateway does not know the team
  level @2 :UInt64;       # the amount that may be lent
  lent @3 :UInt64;        # the loans that may still be used
}

struct RoomReply {
  union {
    held @0 :UInt64;      # the number with which the room is released
    waitMs @1 :UInt32;    # the time until there may be room
  }
}

struct TokenReply {
  union {
    granted @0 :Void;     # one request may be sent
    waitMs @1 :UInt32;    # the time until the next token
    unlimited @2 :Void;   # the endpoint no longer has a limit
  }
}

# Streams that began at engines of one software version of a service.
struct Streams {
  service @0 :Text;
  software @1 :Text;      # empty if it is not known which version began them
  keys @2 :List(UInt64);  # the hashes of the attempts that brought the first events
}

enum Reach {
  unknown @0;             # the gateway may be cut off from all endpoints itself
  reached @1;
  unreached @2;           # the endpoint does not accept connections, and others do
}

# A key with the revision of its last change, whose value is read by a call of its own.
struct LargeKey {
  key @0 :Text;
  revision @1 :UInt64;
}

# The answer to changes.
struct Update {
  union {
    changes :group {
      items @0 :List(Item);
      large @1 :List(LargeKey);
      revision @2 :UInt64;       # all changes up to it are included
      smallRevision @3 :UInt64;  # all changes of small values that are polled up to it are included
      graceMs @4 :UInt32;        # for how long ended registrations may still be renewed
      gapStart @7 :UInt64;       # the sender's last listing that the follower has not received: the revisions before
      gapEnd @8 :UInt64;         # and after it; 0 for none
    }
    compacted @5 :Void;   # changes since the revision are no longer kept; list all keys
    stale @6 :Void;       # the gateway receives nothing from the store itself
  }
}

# The answer to value.
struct ValueReply {
  union {
    piece :group {
      revision @0 :UInt64;   # of the value
      base @1 :UInt64;       # the revision of the value that it is packed against; 0 for none
      digest @2 :UInt64;     # of the packed value
      size @3 :UInt32;       # of the packed value in bytes
      bytes @4 :Data;
    }
    busyMs @5 :UInt32;    # this gateway has sent enough; the time until it sends again
    missing @6 :Void;     # the gateway does not have the value
  }
}

interface Gateway {
  # Requests a grant from the owner of an engine.
  ask @0 (ask :Ask) -> (reply :Reply);
  # Ends a grant; with missing, the engine did not have the adapter.
  # slowdown as in began; longestPauseMs is the longest pause between two events of its stream.
  release @1 (endpoint :Text, base :Text, adapter :Text, grant :UInt64, missing :Bool,
    slowdown :UInt32, longestPauseMs :UInt32) -> ();
  # The response to a granted request has begun.
  # slowdown is how long work takes at the engine now, in percent of the usual time; 0 if it is not known.
  began @2 (endpoint :Text, grant :UInt64, slowdown :UInt32) -> ();
  # Returns the changes of the store after a revision, after waitMs at the latest; with whole,
  # large values are included.
  follow @3 (after :UInt64, waitMs :UInt32, whole :Bool) -> (news :News);
  # Reports crashes of endpoints and the requests that were in flight: a list of records as JSON.
  crashed @4 (records :Data) -> ();
  # Requests a token for one request to an endpoint that names a limit, from the gateway that gives
  # them out; rate is the limit in requests a second, named ageMs ago.
  token @5 (endpoint :Text, rate :Float64, ageMs :UInt32) -> (reply :TokenReply);
  # Reports that an endpoint no longer names a limit.
  limitEnded @6 (endpoint :Text) -> ();
  # Reports which software versions began streams.
  streamsBegan @7 (streams :List(Streams)) -> ();
  # Returns which software versions began streams, for those that the gateway knows.
  locateStreams @8 (keys :List(UInt64)) -> (streams :List(Streams));
  # Connects to an endpoint, and returns whether the gateway reaches it.
  reach @9 (endpoint :Text) -> (reach :Reach);
  # Requests room of a brittle endpoint for one request, from the gateway that gives it out: a share of
  # all its room, until it is released, for holdMs at the latest.
  holdRoom @10 (endpoint :Text, share :Float64, maxRejections :UInt32, holdMs :UInt32)
    -> (reply :RoomReply);
  # The request has ended; whether the endpoint rejected it.
  releaseRoom @11 (endpoint :Text, hold :UInt64, rejected :Bool) -> ();
  # Returns the changes of the store after a position, after waitMs at the latest. Gateways of older releases call
  # follow in its place.
  changes @12 (after :UInt64, afterSmall :UInt64, waitMs :UInt32) -> (update :Update);
  # Returns a piece of a packed large value of at least a revision, from an offset. The caller has the value at the
  # base revision; 0 for none.
  value @13 (key :Text, revision :UInt64, base :UInt64, offset :UInt32) -> (reply :ValueReply);
  # Borrows an amount of a team's quota from the gateway that keeps it: at least needed, at most wanted. used is what
  # the borrower has used in the window of the quota, so that a new keeper knows it; version is that of the
  # configuration that the borrower knows.
  borrow @14 (team :Text, version :UInt64, needed :UInt64, wanted :UInt64, used :UInt64) -> (loan :Loan);
  # Gives back an amount that was not used.
  giveBack @15 (team :Text, amount :UInt64) -> ();

  # Predicts what ask would answer, without changing the engine's state.
  forecast @16 (ask :Ask) -> (forecast :Forecast);

  # Reports how much of a team's quota this gateway lends.
  quotaStanding @17 (team :Text) -> (standing :Standing);
}
