#include "foxquay/fleet/sizes.h"

#include <string>
#include <utility>

#include "foxquay/schema/bounded.h"
#include "foxquay/schema/sizes.h"

namespace foxquay::fleet {
namespace internal {

/// Collects the findings on the fields of one configuration.
class SizeCheck {
 public:
  void Bytes(const std::string& path, const std::string& value,
             std::size_t max) {
    Check(path, value.size(), max, "bytes");
  }
  void Entries(const std::string& path, std::size_t count, std::size_t max) {
    Check(path, count, max, "entries");
  }
  [[nodiscard]] core::Findings Take() { return std::move(findings_); }

 private:
  void Check(const std::string& path, std::size_t size, std::size_t max,
             const char* unit) {
    if (size <= max) return;
    findings_.push_back({"", 0, path,
                         "has " + std::to_string(size) + " " + unit +
                             "; at most " + std::to_string(max) +
                             " are allowed"});
  }

  core::Findings findings_;
};

std::string Element(const std::string& list, std::size_t index) {
  return list + "[" + std::to_string(index) + "]";
}

void CheckRoute(const schema::Route& route, const std::string& path,
                SizeCheck& check) {
  check.Bytes(path + ".name", route.name, schema::Route::kMaxName);
  check.Bytes(path + ".host", route.host, schema::Route::kMaxHost);
  check.Bytes(path + ".path_prefix", route.path_prefix,
              schema::Route::kMaxPathPrefix);
  check.Entries(path + ".services", route.services.size(),
                schema::Route::kMaxServices);
  for (std::size_t index = 0; index < route.services.size(); ++index) {
    check.Bytes(Element(path + ".services", index),
                route.services[index].service.value(), schema::kMaxIdBytes);
  }
}

void CheckService(const schema::Service& service, const std::string& path,
                  SizeCheck& check) {
  check.Bytes(path + ".id", service.id.value(), schema::kMaxIdBytes);
  if (!service.engine) return;
  const auto& accelerators = service.engine->accelerators;
  const std::string list = path + ".engine.accelerators";
  check.Entries(list, accelerators.size(), schema::Engine::kMaxAccelerators);
  for (std::size_t index = 0; index < accelerators.size(); ++index) {
    check.Bytes(Element(list, index) + ".kind", accelerators[index].kind,
                schema::Accelerator::kMaxKind);
  }
}

void CheckWorkspace(const schema::Workspace& workspace, const std::string& path,
                    SizeCheck& check) {
  check.Bytes(path + ".id", workspace.id.value(), schema::kMaxIdBytes);
  check.Entries(path + ".api_keys", workspace.api_keys.size(),
                kMaxWorkspaceKeys);
  for (std::size_t index = 0; index < workspace.api_keys.size(); ++index) {
    check.Bytes(Element(path + ".api_keys", index), workspace.api_keys[index],
                schema::kMaxIdBytes);
  }
}

}  // namespace internal

core::Findings FindOversizes(const schema::Fleet& fleet) {
  internal::SizeCheck check;
  check.Entries("routes", fleet.routes.size(), schema::Fleet::kMaxRoutes);
  for (std::size_t index = 0; index < fleet.routes.size(); ++index) {
    internal::CheckRoute(fleet.routes[index],
                         internal::Element("routes", index), check);
  }
  check.Entries("services", fleet.services.size(), schema::Fleet::kMaxServices);
  for (std::size_t index = 0; index < fleet.services.size(); ++index) {
    internal::CheckService(fleet.services[index],
                           internal::Element("services", index), check);
  }
  check.Entries("workspaces", fleet.workspaces.size(),
                schema::Fleet::kMaxWorkspaces);
  for (std::size_t index = 0; index < fleet.workspaces.size(); ++index) {
    internal::CheckWorkspace(fleet.workspaces[index],
                             internal::Element("workspaces", index), check);
  }
  return check.Take();
}

core::Findings CheckSize(const schema::PutFleet& command) {
  core::Findings findings;
  const auto check = [&findings](const char* part, std::size_t size) {
    if (size <= schema::kMaxFleetBytes) return;
    findings.push_back({"", 0, "",
                        std::string(part) + " takes " + std::to_string(size) +
                            " bytes; at most " +
                            std::to_string(schema::kMaxFleetBytes) +
                            " are allowed"});
  };
  check("the document", command.source.size());
  check("the encoded form of the configuration", command.fleet.size());
  return findings;
}

}  // namespace foxquay::fleet
