#include "foxquay/fleet/sizes.h"

#include <string>
#include <utility>

#include "foxquay/schema/bounded.h"
#include "foxquay/schema/sizes.h"

namespace foxquay::fleet {
namespace internal {

/// Collects the findings on the fields of one configuration. Paths are made by
/// functions, as most fields need none.
class SizeCheck {
 public:
  template <class Path>
  void Bytes(const std::string& value, std::size_t max, const Path& path) {
    Check(value.size(), max, "bytes", path);
  }
  template <class Path>
  void Entries(std::size_t count, std::size_t max, const Path& path) {
    Check(count, max, "entries", path);
  }
  [[nodiscard]] core::Findings Take() { return std::move(findings_); }

 private:
  template <class Path>
  void Check(std::size_t size, std::size_t max, const char* unit,
             const Path& path) {
    if (size <= max) return;
    findings_.push_back({"", 0, path(),
                         "has " + std::to_string(size) + " " + unit +
                             "; at most " + std::to_string(max) +
                             " are allowed"});
  }

  core::Findings findings_;
};

std::string Element(const std::string& list, std::size_t index) {
  return list + "[" + std::to_string(index) + "]";
}

void CheckRoute(const schema::Route& route, std::size_t index,
                SizeCheck& check) {
  const auto path = [index](const char* field) {
    return [index, field] { return Element("routes", index) + "." + field; };
  };
  check.Bytes(route.name, schema::Route::kMaxName, path("name"));
  check.Bytes(route.host, schema::Route::kMaxHost, path("host"));
  check.Bytes(route.path_prefix, schema::Route::kMaxPathPrefix,
              path("path_prefix"));
  check.Entries(route.services.size(), schema::Route::kMaxServices,
                path("services"));
  for (std::size_t entry = 0; entry < route.services.size(); ++entry) {
    check.Bytes(route.services[entry].service.value(), schema::kMaxIdBytes,
                [&] { return Element(path("services")(), entry); });
  }
}

void CheckService(const schema::Service& service, std::size_t index,
                  SizeCheck& check) {
  const auto path = [index](const char* field) {
    return [index, field] { return Element("services", index) + "." + field; };
  };
  check.Bytes(service.id.value(), schema::kMaxIdBytes, path("id"));
  if (!service.engine) return;
  const auto& accelerators = service.engine->accelerators;
  const auto list = path("engine.accelerators");
  check.Entries(accelerators.size(), schema::Engine::kMaxAccelerators, list);
  for (std::size_t entry = 0; entry < accelerators.size(); ++entry) {
    check.Bytes(accelerators[entry].kind, schema::Accelerator::kMaxKind,
                [&] { return Element(list(), entry) + ".kind"; });
  }
}

void CheckWorkspace(const schema::Workspace& workspace, std::size_t index,
                    SizeCheck& check) {
  const auto path = [index](const char* field) {
    return
        [index, field] { return Element("workspaces", index) + "." + field; };
  };
  check.Bytes(workspace.id.value(), schema::kMaxIdBytes, path("id"));
  const auto list = path("api_keys");
  check.Entries(workspace.api_keys.size(), schema::Workspace::kMaxApiKeys,
                list);
  for (std::size_t entry = 0; entry < workspace.api_keys.size(); ++entry) {
    check.Bytes(workspace.api_keys[entry], schema::kMaxIdBytes,
                [&] { return Element(list(), entry); });
  }
}

}  // namespace internal

core::Findings FindOversizes(const schema::Fleet& fleet) {
  internal::SizeCheck check;
  const auto name = [](const char* list) {
    return [list] { return std::string(list); };
  };
  check.Entries(fleet.routes.size(), schema::Fleet::kMaxRoutes, name("routes"));
  for (std::size_t index = 0; index < fleet.routes.size(); ++index) {
    internal::CheckRoute(fleet.routes[index], index, check);
  }
  check.Entries(fleet.services.size(), schema::Fleet::kMaxServices,
                name("services"));
  for (std::size_t index = 0; index < fleet.services.size(); ++index) {
    internal::CheckService(fleet.services[index], index, check);
  }
  check.Entries(fleet.workspaces.size(), schema::Fleet::kMaxWorkspaces,
                name("workspaces"));
  for (std::size_t index = 0; index < fleet.workspaces.size(); ++index) {
    internal::CheckWorkspace(fleet.workspaces[index], index, check);
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
