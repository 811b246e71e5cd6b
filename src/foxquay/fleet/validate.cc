#include "foxquay/fleet/validate.h"

#include <map>
#include <set>
#include <string>
#include <utility>

#include "foxquay/fleet/sizes.h"
#include "foxquay/schema/codec.h"

namespace foxquay::fleet {
namespace internal {

std::string FieldPath(const char* list, std::size_t index, const char* field) {
  return std::string(list) + "[" + std::to_string(index) + "]." + field;
}

void CheckServices(const schema::Route& route, std::size_t index,
                   const std::set<core::ServiceId>& services,
                   core::Findings& findings) {
  double total = 0;
  for (const schema::WeightedService& weighted : route.services) {
    if (weighted.weight < 0) {
      findings.push_back({"", 0, FieldPath("routes", index, "services"),
                          "weights must not be negative"});
    }
    total += weighted.weight;
    if (!services.contains(weighted.service)) {
      findings.push_back(
          {"", 0, FieldPath("routes", index, "services"),
           "unknown service '" + weighted.service.value() + "'"});
    }
  }
  if (!(total > 0)) {
    findings.push_back({"", 0, FieldPath("routes", index, "services"),
                        "the sum of weights must be greater than 0"});
  }
}

void CheckRoutes(const schema::Fleet& fleet,
                 const std::set<core::ServiceId>& services,
                 core::Findings& findings) {
  std::set<std::pair<std::string, std::string>> seen_routes;
  std::size_t index = 0;
  for (const schema::Route& route : fleet.routes) {
    const std::string& prefix = route.path_prefix;
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
      findings.push_back({"", 0, FieldPath("routes", index, "path_prefix"),
                          "must begin and end with a slash"});
    }
    if (!seen_routes.emplace(route.host, prefix).second) {
      findings.push_back({"", 0, FieldPath("routes", index, "path_prefix"),
                          "another route has the same host and path prefix"});
    }
    if (route.timeout <= core::Duration::zero()) {
      findings.push_back({"", 0, FieldPath("routes", index, "timeout"),
                          "must be greater than 0"});
    }
    CheckServices(route, index++, services, findings);
  }
}

void CheckKeys(const schema::Fleet& fleet, core::Findings& findings) {
  std::map<std::string, std::size_t> key_owners;
  for (std::size_t index = 0; index < fleet.workspaces.size(); ++index) {
    for (const std::string& key : fleet.workspaces[index].api_keys) {
      const std::size_t owner = key_owners.emplace(key, index).first->second;
      if (owner == index) continue;
      findings.push_back({"", 0, FieldPath("workspaces", index, "api_keys"),
                          "shares an API key with workspace '" +
                              fleet.workspaces[owner].id.value() + "'"});
    }
  }
}

}  // namespace internal

core::Findings Validate(const schema::Fleet& fleet) {
  core::Findings findings;
  std::set<core::ServiceId> services;
  std::size_t index = 0;
  for (const schema::Service& service : fleet.services) {
    if (!services.insert(service.id).second) {
      findings.push_back({"", 0, internal::FieldPath("services", index, "id"),
                          "another service has the same id"});
    }
    ++index;
  }
  internal::CheckRoutes(fleet, services, findings);
  internal::CheckKeys(fleet, findings);
  return findings;
}

schema::PutFleet MakePutCommand(const schema::Fleet& fleet, std::string source,
                                core::Findings& findings) {
  for (core::Finding& finding : Validate(fleet)) {
    findings.push_back(std::move(finding));
  }
  // What no host could read must not be acknowledged.
  core::Findings oversizes = FindOversizes(fleet);
  core::Result<std::string> encoded = schema::TryEncode(fleet);
  if (!encoded && oversizes.empty()) {
    oversizes.push_back({"", 0, "", "a field exceeds its largest size"});
  }
  for (core::Finding& finding : oversizes) {
    findings.push_back(std::move(finding));
  }
  return {fleet.version, encoded ? std::move(encoded).value() : std::string(),
          std::move(source)};
}

}  // namespace foxquay::fleet
