#ifndef CLI_COMMANDS_H_
#define CLI_COMMANDS_H_

#include <string>
#include <vector>

// Commands of the command line tool for operators. Each command takes the arguments after its name,
// prints results to standard output and errors to standard error, and returns an exit code.

namespace ibishold {

inline constexpr int kExitOk = 0;        // success
inline constexpr int kExitRefused = 1;   // document rejected, or a check of the fleet failed
inline constexpr int kExitUsage = 2;     // error on the command line
inline constexpr int kExitNoAnswer = 3;  // platform or VM could not be read
inline constexpr int kExitWarning = 4;   // accepted, but coverage drops or the base is stale

using Arguments = std::vector<std::string>;

int RunCheck(const Arguments& arguments);
int RunTable(const Arguments& arguments);
int RunStatus(const Arguments& arguments);
int RunExplain(const Arguments& arguments);
int RunTrace(const Arguments& arguments);

}  // namespace ibishold

#endif  // CLI_COMMANDS_H_
