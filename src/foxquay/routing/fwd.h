#ifndef FOXQUAY_ROUTING_FWD_H_
#define FOXQUAY_ROUTING_FWD_H_

#include <vector>

namespace foxquay::routing {

struct Stage;
struct LinkTable;
struct Query;
struct Plan;
struct NoPlan;
class Router;

/// Stages on upstreams that together run each layer of a model once, in order.
using Chain = std::vector<Stage>;

}  // namespace foxquay::routing

#endif  // FOXQUAY_ROUTING_FWD_H_
