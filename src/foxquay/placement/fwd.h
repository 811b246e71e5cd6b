#ifndef FOXQUAY_PLACEMENT_FWD_H_
#define FOXQUAY_PLACEMENT_FWD_H_

namespace foxquay::placement {

struct Range;
struct ModelUpstream;
struct Assignment;
struct Capacity;
struct CentreCapacity;
struct Candidate;
struct Stage;
struct Order;
class Reconciler;

}  // namespace foxquay::placement

#endif  // FOXQUAY_PLACEMENT_FWD_H_
