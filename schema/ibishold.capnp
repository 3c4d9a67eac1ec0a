@0xb1c6f0d2a4e89377;

# Messages between the system's own processes. A frame on TCP is a 4-byte little-endian length and one
# unpacked message of type Frame; a UDP datagram is one message of type Datagram.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("ibishold::wire");

struct Frame {
  correlation       @0 :UInt64;   # matches an answer to its request; unique per link and direction
  senderIncarnation @1 :UInt64;   # run of the sending process
  body :union {
    ping          @2 :Void;
    pong          @3 :Void;
    hello         @4 :Hello;
    leafBatch     @5 :LeafBatch;      # front -> broker
    leafAnswer    @6 :LeafAnswer;     # broker -> front, correlation = that of the batch
    cancel        @7 :Cancel;         # front -> broker
    cancelResult  @8 :CancelResult;   # broker -> front
    getView       @9 :GetView;        # front -> local broker
    view          @10 :View;          # broker -> front; front -> local broker: only successors
    execute       @11 :Execute;       # front -> front that is the home of the token
    executeResult @12 :ExecuteResult;
    tokenHandOver @13 :TokenHandOver; # front -> successor front
    slotRelease   @14 :SlotRelease;   # broker -> broker
    leafState     @15 :LeafState;     # broker -> broker
    quarantine    @16 :Quarantine;    # broker -> broker, front <-> broker
    getDocument   @17 :GetDocument;   # broker -> broker
    document      @18 :Document;
    acknowledge   @19 :Void;          # generic positive answer
    goingAway     @20 :Void;          # planned stop: send nothing new on this link
  }
}

struct Hello {
  vm    @0 :Text;
  role  @1 :Role;
  enum Role { front @0; broker @1; }
}

enum RequestClass { interactive @0; standard @1; bulk @2; }
enum Verdict { notRun @0; mayHaveRun @1; ran @2; }

enum Outcome {
  ok           @0;   # records in the answer
  versionGone  @1;   # the leaf does not hold the pinned index version; not run
  shed         @2;   # refused by the broker or the leaf before running
  deadline     @3;   # could not finish in time
  unreachable  @4;   # no connection to the leaf
  leafLost     @5;   # connection lost while the request may have been running
  notOwner     @6;   # this broker holds no slot of the leaf now
  draining     @7;   # the leaf or its data centre takes no new work
  quarantined  @8;   # the request is suspected of crashing leaves
  cancelled    @9;   # cancelled by the front
  failed       @10;  # the leaf answered with an error
}

enum RequestKind { search @0; execute @1; }

struct LeafRequest {
  attempt   @0 :UInt64;   # unique per front incarnation
  leaf      @1 :Text;
  shard     @2 :Text;
  hedge     @3 :Bool;     # second attempt while the first is still out
  canary    @4 :Bool;     # runs alone to test a suspect fingerprint
}

struct LeafBatch {
  requestId       @0 :Text;
  service         @1 :Text;
  kind            @2 :RequestKind;
  requestClass    @3 :RequestClass;
  tenant          @4 :Text;
  timeLeftMicros  @5 :UInt64;
  indexVersion    @6 :UInt64;
  mapVersion      @7 :UInt64;
  fingerprint     @8 :UInt64;
  body            @9 :Data;     # JSON of the query or operation, shared by all requests of the batch
  requests        @10 :List(LeafRequest);
}

struct LeafAnswer {
  attempt          @0 :UInt64;
  outcome          @1 :Outcome;
  verdict          @2 :Verdict;
  complete         @3 :Bool;        # false: the leaf said that its own answer is partial
  records          @4 :Data;        # JSON array as sent by the leaf
  indexVersion     @5 :UInt64;
  mapVersion       @6 :UInt64;
  versionsHeld     @7 :List(UInt64);
  leafIncarnation  @8 :UInt64;
  leafUptimeMillis @9 :UInt64;
  retryAfterMillis @10 :UInt64;
  queueMicros      @11 :UInt64;
  serviceMicros    @12 :UInt64;
  message          @13 :Text;
}

struct Cancel {
  attempts @0 :List(UInt64);
}

struct CancelResult {
  attempt @0 :UInt64;
  verdict @1 :Verdict;   # notRun only if the broker removed it before the first byte was written
}

struct Digest {
  key        @0 :Text;
  generation @1 :UInt64;
  hash       @2 :UInt64;
}

struct GetView {
  known @0 :List(Digest);
}

struct View {
  documents   @0 :List(Document);   # only those that differ from the known digests
  lostVms     @1 :List(Text);
  ready       @2 :Bool;
  stale       @3 :Bool;             # this VM may be cut off: start no new leaf work
  quarantined @4 :List(Quarantine);
  successors  @5 :List(Successor);
  leavingVms  @6 :List(Text);       # by the list or by peers
}

struct Successor {
  incarnation @0 :UInt64;   # run of a front that has stopped
  vm          @1 :Text;     # VM that took over its tokens
  home        @2 :Text;     # VM of the stopped run; two VMs may have equal incarnations
  hops        @3 :UInt32;   # hand-overs of the run so far; the highest report wins
}

struct Execute {
  token          @0 :Text;
  service        @1 :Text;
  tenant         @2 :Text;
  requestClass   @3 :RequestClass;
  timeLeftMicros @4 :UInt64;
  key            @5 :UInt64;
  operation      @6 :Data;
  fingerprint    @7 :UInt64;
}

struct ExecuteResult {
  verdict          @0 :Verdict;
  status           @1 :UInt16;   # HTTP status for the caller
  body             @2 :Data;
  retryAfterMillis @3 :UInt64;
}

struct TokenHandOver {
  incarnation          @0 :UInt64;   # home run whose tokens these are
  entries              @1 :List(TokenEntry);
  last                 @2 :Bool;     # unused; complete when all parts have arrived
  home                 @3 :Text;     # VM of the home run
  successorIncarnation @4 :UInt64;   # the only run that may accept it
  homeClockMillis      @5 :UInt64;   # home's clock when the hand-over began
  issued               @6 :UInt64;   # highest sequence issued by the home
  attempt              @7 :UInt32;   # number of the export, higher when it is repeated
  part                 @8 :UInt32;   # 0..parts - 1
  parts                @9 :UInt32;   # 0: results that came after the hand-over
}

struct TokenEntry {
  sequence     @0 :UInt64;
  expiryMillis @1 :UInt64;       # by the clock of the token's home
  state        @2 :State;
  verdict      @3 :Verdict;
  status       @4 :UInt16;
  body         @5 :Data;
  fingerprint  @6 :UInt64;       # of the operation
  retryAfterMillis @7 :UInt64;
  enum State { issued @0; running @1; finished @2; }
}

struct SlotRelease {
  leaf    @0 :Text;
  slots   @1 :UInt32;
  primary @2 :Bool;    # the sender no longer acts as primary of the leaf
}

struct LeafState {
  leaf        @0 :Text;
  incarnation @1 :UInt64;
  level       @2 :UInt32;   # requests in flight that the leaf may have over the whole fleet
  warm        @3 :Bool;
  report      @4 :UInt64;   # number of the sender's newest report that the leaf is cold
  echo        @5 :UInt64;   # newest report of the receiver that the sender has received
}

struct Quarantine {
  fingerprint @0 :UInt64;
  crashes     @1 :UInt32;
  ttlMillis   @2 :UInt64;           # time left of a refusal; 0: runs alone on one leaf
  crashAgeMillis @3 :UInt64;        # time since the newest crash
  aloneCrashes   @4 :List(UInt64);  # names of crashes that it caused while it ran alone
}

struct GetDocument {
  key @0 :Text;
}

struct Document {
  key        @0 :Text;
  generation @1 :UInt64;
  hash       @2 :UInt64;
  body       @3 :Data;
  deflated   @4 :Bool;   # body is a raw deflate stream of the text
  textBytes  @5 :UInt32; # length of the text
}

enum VmState {
  live    @0;
  leaving @1;
  lost    @2;   # more than half of its monitors report it silent
  silent  @3;   # the sender of the heartbeat is a monitor of this VM and has not heard it for 60 s
}

struct VmFact {
  vm          @0 :Text;
  incarnation @1 :UInt64;
  state       @2 :VmState;
}

struct Heartbeat {
  vm          @0 :Text;
  incarnation @1 :UInt64;
  sequence    @2 :UInt64;
  state       @3 :VmState;
  digests     @4 :List(Digest);
  facts       @5 :List(VmFact);
  successors  @6 :List(Successor);
}

struct Datagram {
  body :union {
    heartbeat    @0 :Heartbeat;
    heartbeatAck @1 :Heartbeat;   # sequence repeats that of the heartbeat
  }
}

# Membership of VMs that run one process each (datagram between their peer ports).
struct PeerGossip {
  sender @0 :PeerFact;                  # age 0
  peers @1 :List(PeerFact);             # a sample of what the sender knows
  tenantStates @2 :List(TenantState);   # tenants that are limited, or were lately
  documentsAsOf @3 :UInt64;             # revision up to which the sender knows all documents
  dataCentres @4 :List(Text);           # names that the facts refer to
  silentLeaves @5 :List(SilentLeaf);    # leaves that have just been seen not to answer
  leavingLeaves @6 :List(LeavingLeaf);  # leaves that have said so in the last seconds
  refusals @7 :List(CallRefusal);       # calls that crash leaves
  crashes @8 :List(LeafCrash);          # leaves that have just crashed while they ran a call
  limits @9 :List(LeafLimit);           # request rates that leaves state as their limits
  documentsEpoch @10 :UInt64;           # epoch of documentsAsOf
}

struct TenantState {
  tenant @0 :UInt64;                    # stable hash of the tenant's name
  fraction @1 :Float32;                 # of its calls that each VM may admit
  demand @2 :Float32;                   # calls/s that reach all VMs
  ageMs @3 :UInt32;                     # since its home VM stated this
  limited @4 :Bool;                     # false: the limiting has ended
  inPlace @5 :Bool;                     # stated by a VM in place of the home VM
}

# Sent in packed form after one byte that no PeerGossip begins with.
struct UsageMessage {
  incarnation @0 :UInt64;               # of the sender of a report; 0: an acknowledgement
  sequence @1 :UInt32;                  # of the report
  usage @2 :List(TenantUsage);          # in a report
  states @3 :List(TenantState);         # in an acknowledgement
}

struct TenantUsage {
  tenant @0 :UInt64;                    # stable hash of the tenant's name
  asked @1 :UInt32;                     # calls since the last report
  admitted @2 :Int32;                   # of these, less those that were refused later
  knownDemand @3 :Float32;              # calls/s, if the sender knows that the tenant is limited
}

struct CallRefusal {
  fingerprint @0 :UInt64;
  leftMs @1 :UInt32;                    # that the call will still be refused
  service @2 :UInt64;                   # hash; the call is refused there only; 0: everywhere
}

# Stable hashes.
struct LeafCrash {
  fingerprint @0 :UInt64;               # of the call
  request @1 :UInt64;                   # of the caller's attempt
  service @2 :UInt64;
  leaf @3 :UInt64;                      # of one run of the leaf
  ageMs @4 :UInt32;                     # time since the crash, or since a later one of this call
  wholeCall @5 :Bool;                   # the leaf ran the whole call, not a shard of a fan-out call
}

struct LeafLimit {
  leaf @0 :UInt64;                      # stable hash of one run of the leaf
  perSecond @1 :Float32;                # requests/s from all VMs; negative: no limit any more
  ageMs @2 :UInt32;                     # time since the leaf stated this
}

struct LeavingLeaf {
  leaf @0 :Text;                        # id
  started @1 :UInt64;                   # ms since 1970 at the start of the run that leaves
}

struct SilentLeaf {
  leaf @0 :Text;                        # id
  waitedMs @1 :UInt32;                  # that a request has been waiting without any answer
}

# 24 bytes each, so that many fit into one datagram.
struct PeerFact {
  incarnation @0 :UInt64;               # ms since 1970 at the start of the process
  address @1 :UInt32;                   # IPv4, host byte order
  ageMs @2 :UInt32;                     # since the process itself said so
  port @3 :UInt16;
  processorMillis @4 :UInt16;           # thousandths of a core
  fanOutTenths @5 :UInt16;              # tenths of a fan-out call per second that arrive there
  dataCentre @6 :UInt8;                 # index into PeerGossip.dataCentres
  stopping @7 :Bool;                    # takes no new work
}

# What one VM tells another of the published documents.
struct DocumentUpdate {
  asOf @0 :UInt64;                      # all changes up to this revision are in
  complete @1 :Bool;                    # the list is whole; else changes after the asked revision
  inTouch @2 :Bool;                     # the sender reads the platform's store without failures
  changes @3 :List(DocumentChange);
  epoch @4 :UInt64;                     # of the store, for asOf and the changes
}

struct DocumentChange {
  key @0 :Text;
  value @1 :Data;                       # empty if removed
  revision @2 :UInt64;
  removed @3 :Bool;
}
