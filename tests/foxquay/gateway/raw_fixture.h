#ifndef FOXQUAY_TESTS_FOXQUAY_GATEWAY_RAW_FIXTURE_H_
#define FOXQUAY_TESTS_FOXQUAY_GATEWAY_RAW_FIXTURE_H_

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "proxy_fixture.h"
#include "raw_upstream.h"

namespace foxquay::gateway {

/// A proxy fixture whose only upstream is a RawUpstream.
struct RawFixture : ProxyFixture {
  explicit RawFixture(std::vector<RawUpstream::Answer> answers)
      : upstream(
            context, "127.0.0.1",
            [this, answers = std::move(answers)](const std::string& request) {
              // Inquiries after a loss are no requests of callers.
              if (request.starts_with("GET /report ")) {
                return RawUpstream::Answer{
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
              }
              const std::size_t index =
                  std::min(received++, answers.size() - 1);
              return answers[index];
            }) {
    proxy.SetUpstreams(Announcements());
  }

  /// Returns two announcements of the upstream, so that a request may be sent
  /// again.
  [[nodiscard]] std::vector<schema::Announcement> Announcements() const {
    std::vector<schema::Announcement> announcements;
    for (const char* id : {"c", "d"}) {
      schema::Announcement announcement = Announce(id, a);
      announcement.address = upstream.address();
      announcements.push_back(announcement);
    }
    return announcements;
  }

  std::size_t received = 0;  ///< Requests of callers at the upstream.
  RawUpstream upstream;
};

}  // namespace foxquay::gateway

#endif  // FOXQUAY_TESTS_FOXQUAY_GATEWAY_RAW_FIXTURE_H_
