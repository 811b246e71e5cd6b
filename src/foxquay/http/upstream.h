#ifndef FOXQUAY_HTTP_UPSTREAM_H_
#define FOXQUAY_HTTP_UPSTREAM_H_

#include <variant>

#include "foxquay/http/caller.h"
#include "foxquay/http/server.h"
#include "foxquay/schema/announcement.h"

namespace foxquay::http {

/// Parses and validates `PUT /v1/upstreams/{id}`.
[[nodiscard]] std::variant<schema::Announcement, Problem> ReadAnnouncement(
    const Incoming& incoming);

}  // namespace foxquay::http

#endif  // FOXQUAY_HTTP_UPSTREAM_H_
