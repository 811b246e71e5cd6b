#ifndef FOXQUAY_DISPATCH_FWD_H_
#define FOXQUAY_DISPATCH_FWD_H_

namespace foxquay::dispatch {

class Engine;
struct Submission;
struct Policy;

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_FWD_H_
