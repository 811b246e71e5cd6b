#include "foxquay/daemon/announcement_check.h"

#include "foxquay/net/socket.h"
#include "foxquay/schema/codec.h"

namespace foxquay::daemon {

core::Findings CheckAnnouncement(const schema::Announcement& announcement,
                                 core::WallTime now) {
  core::Findings findings;
  if (announcement.id.empty()) findings.push_back({"", 0, "id", "missing"});
  const auto endpoint = net::ParseEndpoint(announcement.address);
  if (!endpoint || endpoint.value().port() == 0) {
    findings.push_back({"", 0, "address", "expected IP:PORT"});
  }
  if (announcement.born > now + kMaxClockLead) {
    findings.push_back({"", 0, "born", "lies in the future"});
  }
  if (!schema::TryEncode(announcement)) {
    findings.push_back({"", 0, "", "a field exceeds its largest size"});
  }
  return findings;
}

}  // namespace foxquay::daemon
