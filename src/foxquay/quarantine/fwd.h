#ifndef FOXQUAY_QUARANTINE_FWD_H_
#define FOXQUAY_QUARANTINE_FWD_H_

namespace foxquay::quarantine {

class Bundle;
class Detector;
class Gate;
class Recorder;
class Table;

}  // namespace foxquay::quarantine

#endif  // FOXQUAY_QUARANTINE_FWD_H_
