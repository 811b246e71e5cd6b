#ifndef FOXQUAY_GATEWAY_FWD_H_
#define FOXQUAY_GATEWAY_FWD_H_

namespace foxquay::gateway {

struct Protocol;
struct ControlProtocol;
class Proxy;
class Placer;

}  // namespace foxquay::gateway

#endif  // FOXQUAY_GATEWAY_FWD_H_
