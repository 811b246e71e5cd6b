#ifndef FOXQUAY_CLI_COMMANDS_H_
#define FOXQUAY_CLI_COMMANDS_H_

namespace foxquay::cli {

/// Subcommands for operators. The first argument is the name of the subcommand;
/// each returns an ExitStatus.
int Config(int argc, const char** argv);
int Defaults(int argc, const char** argv);
int Exceptions(int argc, const char** argv);
int History(int argc, const char** argv);
int Rollback(int argc, const char** argv);
int Upstreams(int argc, const char** argv);
int Hosts(int argc, const char** argv);
int Status(int argc, const char** argv);
int Drain(int argc, const char** argv);

}  // namespace foxquay::cli

#endif  // FOXQUAY_CLI_COMMANDS_H_
