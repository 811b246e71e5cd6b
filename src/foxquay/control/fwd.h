#ifndef FOXQUAY_CONTROL_FWD_H_
#define FOXQUAY_CONTROL_FWD_H_

#include <cstdint>

namespace foxquay::control {

class Config;
class ContentShare;
class Feed;
class ClaimTable;
class GrantTable;
class ResultLog;
class State;
class Observer;
class InForceTracker;
class OrderGate;
struct Subject;
struct Admission;
struct InForce;

}  // namespace foxquay::control

#endif  // FOXQUAY_CONTROL_FWD_H_
