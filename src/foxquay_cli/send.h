#ifndef FOXQUAY_CLI_SEND_H_
#define FOXQUAY_CLI_SEND_H_

namespace foxquay::cli {

/// Subcommand that sends one request: asks an entry address for the hosts to
/// connect to, sends the request to the first that is reachable, and prints the
/// answer and its outcome.
///
/// Exit status: 0 complete, 3 not-run, 4 unknown, 5 failed, 64 wrong usage,
/// 69 no host reachable, 70 no outcome in the answer.
int Send(int argc, const char** argv);

}  // namespace foxquay::cli

#endif  // FOXQUAY_CLI_SEND_H_
