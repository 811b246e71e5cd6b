#ifndef FOXQUAY_RELAY_FWD_H_
#define FOXQUAY_RELAY_FWD_H_

namespace foxquay::relay {

class Relay;
class Upstreams;
class RetryBudget;
class LimitTable;
class LimitPool;
class RateLimits;
class EventFilter;
class HoldOffs;
class HedgePolicy;
class Partners;
class Reachability;
struct RequestContext;

}  // namespace foxquay::relay

#endif  // FOXQUAY_RELAY_FWD_H_
