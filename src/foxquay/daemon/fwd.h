#ifndef FOXQUAY_DAEMON_FWD_H_
#define FOXQUAY_DAEMON_FWD_H_

namespace foxquay::daemon {

class Announcements;
class CallerApi;
class Host;
class ResultChannel;
class SettingsReloader;
class Traffic;
class WorkerPool;
struct ControlHooks;

}  // namespace foxquay::daemon

#endif  // FOXQUAY_DAEMON_FWD_H_
