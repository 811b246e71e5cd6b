#include <iostream>

#include "foxquay_cli/admin.h"
#include "foxquay_cli/commands.h"
#include "foxquay_cli/table.h"

namespace foxquay::cli {
namespace internal {

/// Parses the admin options, reads `path` and prints the list `list` of the
/// answer with the given columns.
int ShowList(int argc, const char** argv, const std::string& path,
             const std::string& list, const std::vector<std::string>& columns) {
  AdminOptions admin;
  int status = kExitOk;
  const auto client = OpenFromArguments(argc, argv, admin, status);
  if (!client) return status;
  const auto body = client->Get(path, status);
  if (!body) return status;
  Print(admin.output, *body, list, columns);
  return kExitOk;
}

std::string Voters(const nlohmann::json& voters) {
  std::string text;
  for (const nlohmann::json& voter : voters) {
    text += (text.empty() ? "" : ", ") + voter.value("host", "") + " (" +
            std::to_string(voter.value("incarnation", std::uint64_t{0})) + ")";
  }
  return text;
}

void PrintStatus(const nlohmann::json& body) {
  std::cout << "host:      " << body.value("host", "") << "\n"
            << "leader:    " << body.value("leader", "") << "\n"
            << "term:      " << body.value("term", std::uint64_t{0}) << "\n"
            << "commit:    " << body.value("commit", std::uint64_t{0}) << "\n"
            << "replica:   " << body.value("replica", std::uint64_t{0}) << "\n"
            << "voters:    " << Voters(body["voters"])
            << (body.value("changing_voters", false) ? ", changing" : "")
            << "\n"
            << "revision:  " << body.value("revision", std::uint64_t{0}) << "\n"
            << "admitting: " << (body.value("admitting", false) ? "yes" : "no")
            << "\n"
            << "upstreams: " << body.value("upstreams", std::uint64_t{0})
            << "\n\n"
            << FormatTable(
                   body["hosts"],
                   {"host", "data_centre", "control", "alive", "admitting",
                    "draining", "revision", "free_percent", "open_requests"});
}

}  // namespace internal

int Upstreams(int argc, const char** argv) {
  return internal::ShowList(
      argc, argv, "/admin/v1/upstreams", "upstreams",
      {"upstream", "kind", "model", "service", "first_layer", "last_layer",
       "data_centre", "accelerator", "slots", "load", "address"});
}

int Hosts(int argc, const char** argv) {
  return internal::ShowList(
      argc, argv, "/admin/v1/hosts", "hosts",
      {"host", "data_centre", "region", "control", "alive", "admitting",
       "draining", "revision", "caller"});
}

int Status(int argc, const char** argv) {
  AdminOptions admin;
  int status = kExitOk;
  const auto client = OpenFromArguments(argc, argv, admin, status);
  if (!client) return status;
  const auto body = client->Get("/admin/v1/status", status);
  if (!body) return status;
  if (admin.output == "json") {
    std::cout << body->dump(2) << "\n";
  } else {
    internal::PrintStatus(*body);
  }
  return kExitOk;
}

int Drain(int argc, const char** argv) {
  AdminOptions admin;
  int status = kExitOk;
  const auto client = OpenFromArguments(argc, argv, admin, status);
  if (!client) return status;
  const auto reply = client->Call("POST", "/admin/v1/drain", nullptr);
  if (!reply) {
    std::cerr << "foxquay: no answer; check the state of the host with foxquay "
                 "status\n";
    return kExitUnavailable;
  }
  if (reply->status != 202) return PrintError(*reply);
  std::cout << "draining; the process exits after its last request has ended\n";
  return kExitOk;
}

}  // namespace foxquay::cli
