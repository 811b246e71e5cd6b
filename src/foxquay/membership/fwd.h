#ifndef FOXQUAY_MEMBERSHIP_FWD_H_
#define FOXQUAY_MEMBERSHIP_FWD_H_

namespace foxquay::membership {

class ParentSelector;
struct ParentCandidate;

}  // namespace foxquay::membership

#endif  // FOXQUAY_MEMBERSHIP_FWD_H_
