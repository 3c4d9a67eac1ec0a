#ifndef IBISHOLD_DAEMON_H_
#define IBISHOLD_DAEMON_H_

// Code shared by all daemons: settings, command line, logging, HTTP server for operators, planned
// stop.
//
// Index of this header:
//   1. Settings         JSON file that all daemons of a VM read
//   2. Command line     --settings, --check, --help
//   3. Logging          log4cxx, one JSON object per line
//   4. OperatorServer   HTTP server for /metrics, /ready, /healthz and /debug pages
//   5. Process          planned stop on SIGTERM or SIGINT, incarnation

#include <log4cxx/logger.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "ibishold/core.h"

namespace ibishold {

// ---- 1. Settings --------------------------------------------------------------------------------

struct PortSettings {
  std::uint16_t front_http = 8080;       // TCP, callers
  std::uint16_t front_link = 8081;       // TCP, other fronts
  std::uint16_t front_operator = 8082;   // TCP, operators
  std::uint16_t broker_link = 8090;      // TCP, fronts and brokers
  std::uint16_t broker_gossip = 8091;    // UDP, heartbeats
  std::uint16_t broker_operator = 8092;  // TCP, operators
};

struct Settings {
  VmId vm;                       // required
  DataCentre data_centre;        // required
  std::string address;           // required; IP address of this VM
  std::string platform_address;  // required; IP address of the platform's service
  std::uint16_t platform_port = 8500;
  PortSettings ports;              // must be equal on every VM
  std::vector<std::string> peers;  // IP addresses of VMs to contact before the platform
  std::string log_level = "info";  // debug, info, warn or error
  boost::json::value front = boost::json::object();   // settings of ibishold-front
  boost::json::value broker = boost::json::object();  // settings of ibishold-broker
};

// Errors: NotFound (the file cannot be read), InvalidArgument (the message names the key and the
// allowed range). Unknown keys are errors. The objects "front" and "broker" are not validated here:
// each daemon validates its own.
absl::StatusOr<Settings> LoadSettings(const std::string& path);
absl::StatusOr<Settings> ParseSettings(const std::string& json);

// ---- 2. Command line ----------------------------------------------------------------------------

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;  // the daemon could not start
inline constexpr int kExitUsage = 2;   // error on the command line or in the settings

struct DaemonCommandLine {
  std::string settings_path;
  bool check_only = false;  // --check: validate the settings and exit
  int exit_code = -1;       // if 0 or above: exit at once with this code
};

// Parses the command line. Prints the help text to standard output and errors to standard error.
DaemonCommandLine ParseDaemonCommandLine(int argc, char** argv, const std::string& program);

// ---- 3. Logging ---------------------------------------------------------------------------------

// Sends logs to standard error, one JSON object per line with time, level, logger and message. Call
// once, before the first call of GetLogger. Daemons log only changes of state; all other events are
// counted in metrics.
void ConfigureLogging(const std::string& level, const VmId& vm, const std::string& process);

// Returns the logger PROCESS.VM.NAME.
log4cxx::LoggerPtr GetLogger(const std::string& name);

// ---- 4. OperatorServer --------------------------------------------------------------------------

struct OperatorReply {
  int status = 200;                               // HTTP status
  std::string content_type = "application/json";  // media type
  std::string body;
};

// HTTP server for operators that runs on its own thread. Handlers run on that thread and must not
// block. Requests are limited to 8 KB and 5 s.
class OperatorServer {
 public:
  using Handler = std::function<OperatorReply()>;

  OperatorServer() = default;
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  void AddHandler(const std::string& path, Handler handler);  // call before Start
  absl::Status Start(const std::string& address, std::uint16_t port);
  void Stop();  // idempotent

 private:
  class Session;

  void AcceptNext();
  OperatorReply HandleRequest(const std::string& method, const std::string& target) const;

  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor{context};
  std::map<std::string, Handler> handlers;
  std::thread thread;
};

// ---- 5. Process ---------------------------------------------------------------------------------

// Blocks until SIGTERM or SIGINT arrives, then calls on_stop once and returns when `stopped`
// becomes true. A second signal makes the function return at once.
void RunUntilStopped(const std::function<void()>& on_stop, const std::atomic<bool>& stopped);

// Returns the current time in milliseconds since 1970, for use as the incarnation of a process.
Incarnation MakeIncarnation();

}  // namespace ibishold

#endif  // IBISHOLD_DAEMON_H_
