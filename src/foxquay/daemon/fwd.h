#ifndef FOXQUAY_DAEMON_FWD_H_
#define FOXQUAY_DAEMON_FWD_H_

namespace foxquay::daemon {

class Announcements;
class CallerApi;
class Exchange;
class Host;
class Reload;
class Traffic;
class Workers;
struct ControlHooks;

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_FWD_H_
