#ifndef FOXQUAY_DISPATCH_FWD_H_
#define FOXQUAY_DISPATCH_FWD_H_

namespace foxquay::dispatch {

class Engine;
class Policy;
class Queue;
class Limits;
struct Submission;
struct QueueEntry;

}  // namespace foxquay::dispatch

#endif  // FOXQUAY_DISPATCH_FWD_H_
