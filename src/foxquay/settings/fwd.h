#ifndef FOXQUAY_SETTINGS_FWD_H_
#define FOXQUAY_SETTINGS_FWD_H_

namespace foxquay::settings {

struct Difference;
struct Loaded;

namespace internal {

class Reader;
class Section;

}  // namespace internal
}  // namespace foxquay::settings

#endif  // FOXQUAY_SETTINGS_FWD_H_
