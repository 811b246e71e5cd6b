#include "foxquay_cli/change.h"

#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>

namespace foxquay::cli {
namespace internal {

constexpr int kMaxAttempts = 3;

std::string RandomId() {
  std::random_device random;
  std::ostringstream out;
  out << std::hex << random() << random();
  return std::move(out).str();
}

std::string LoginName() {
  const char* name = std::getenv("USER");
  return name == nullptr || *name == '\0' ? "operator" : name;
}

int PrintAccepted(const AdminOptions& admin, const ChangeOptions& change,
                  const nlohmann::json& body) {
  const bool in_force = body.value("in_force", false);
  if (admin.output == "json") {
    std::cout << body.dump(2) << "\n";
  } else {
    std::cout << "accepted as revision "
              << body.value("revision", std::uint64_t{0}) << "\n";
    if (change.wait && in_force) std::cout << "in force on every host\n";
    for (const auto& host :
         body.value("lease_expired", nlohmann::json::array())) {
      std::cout << "not applied, but its configuration lease has expired: "
                << host.get<std::string>() << "\n";
    }
    for (const auto& host :
         body.value("waiting_for", nlohmann::json::array())) {
      std::cout << "not yet in force on: " << host.get<std::string>() << "\n";
    }
  }
  return change.wait && !in_force ? kExitNotInForce : kExitOk;
}

}  // namespace internal

void ChangeOptions::AddTo(Arguments& arguments) {
  arguments.AddText("author", author, "Author of the change");
  arguments.AddText("change-id", change_id,
                    "Id of the change; repeat it to send the change again");
  arguments.AddNumber("revision", revision, "Expected revision");
  arguments.AddFlag("wait", wait, "Wait until the change is in force");
}

int SendChange(const AdminClient& client, const AdminOptions& admin,
               const ChangeOptions& change, const std::string& method,
               const std::string& path, nlohmann::json body) {
  if (change.revision >= 0) {
    body["expected_revision"] = change.revision;
  } else {
    int status = kExitOk;
    const auto current = client.Get("/admin/v1/defaults", status);
    if (!current) return status;
    body["expected_revision"] = current->value("revision", std::uint64_t{0});
  }
  const std::string id =
      change.change_id.empty() ? internal::RandomId() : change.change_id;
  body["change_id"] = id;
  body["author"] =
      change.author.empty() ? internal::LoginName() : change.author;
  const std::string target = path + (change.wait ? "?wait=in-force" : "");
  for (int attempt = 0; attempt < internal::kMaxAttempts; ++attempt) {
    const auto reply = client.Call(method, target, body);
    if (!reply) continue;
    if (reply->status != 200) {
      if (reply->status == 503) {
        std::cerr << "foxquay: send it again with --change-id " << id
                  << " --revision " << body["expected_revision"] << "\n";
      }
      return PrintError(*reply);
    }
    return internal::PrintAccepted(admin, change, reply->body);
  }
  std::cerr << "foxquay: no answer; the change may have been accepted. Send it "
               "again with --change-id "
            << id << " to learn its result\n";
  return kExitUnavailable;
}

}  // namespace foxquay::cli
