#ifndef IBISHOLD_DAEMON_H_
#define IBISHOLD_DAEMON_H_

// What all daemons share: settings, command line, logs, the operators' HTTP pages, planned stop.
//
// Index of this header:
//   1. Settings         one JSON file for the daemons of a VM
//   2. Command line     --settings, --check, --help
//   3. Logging          log4cxx, one JSON object per line
//   4. OperatorServer   /metrics, /ready, /healthz, /debug/state
//   5. StopSignal       SIGTERM and SIGINT

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
  std::uint16_t front_http = 8080;       // callers; 8080
  std::uint16_t front_link = 8081;       // other fronts; 8081
  std::uint16_t front_operator = 8082;   // operators; 8082
  std::uint16_t broker_link = 8090;      // fronts and brokers, TCP; 8090
  std::uint16_t broker_gossip = 8091;    // heartbeats, UDP; 8091
  std::uint16_t broker_operator = 8092;  // operators; 8092
};

struct Settings {
  VmId vm;                             // required
  DataCentre data_centre;              // required
  std::string address;                 // required; IP number of this VM
  std::string platform_address;        // required; IP number of the platform's service
  std::uint16_t platform_port = 8500;  // 8500
  PortSettings ports;                  // the same on every VM
  std::vector<std::string> peers;      // IP numbers of VMs to ask before the platform; none
  std::string log_level = "info";      // debug, info, warn or error; info
  boost::json::value front = boost::json::object();   // limits of ibishold-front
  boost::json::value broker = boost::json::object();  // limits of ibishold-broker
};

// Errors: NotFound (no such file), InvalidArgument with the path of the key and the allowed range;
// an unknown key is refused. The members front and broker are checked by their daemons.
absl::StatusOr<Settings> LoadSettings(const std::string& path);
absl::StatusOr<Settings> ParseSettings(const std::string& json);

// ---- 2. Command line ----------------------------------------------------------------------------

inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1;  // could not run
inline constexpr int kExitUsage = 2;   // mistake on the command line or in the settings

struct DaemonCommandLine {
  std::string settings_path;
  bool check_only = false;  // --check: validate the settings and exit
  int exit_code = -1;       // at least 0: exit at once with this code
};

// Prints help or the mistake itself.
DaemonCommandLine ParseDaemonCommandLine(int argc, char** argv, const std::string& program);

// ---- 3. Logging ---------------------------------------------------------------------------------

// Writes to standard error, one JSON object per line with time, level, logger and message. Loggers
// are named PROCESS.VM.PART. Only changes of state are logged; everything else is counted. Call it
// once, before GetLogger.
void ConfigureLogging(const std::string& level, const VmId& vm, const std::string& process);

log4cxx::LoggerPtr GetLogger(const std::string& name);

// ---- 4. OperatorServer --------------------------------------------------------------------------

struct OperatorReply {
  int status = 200;                               // HTTP status
  std::string content_type = "application/json";  // media type
  std::string body;
};

// HTTP server for operators on its own thread. Handlers run on that thread and must not block.
// Requests are limited to 8 KB and 5 s.
class OperatorServer {
 public:
  using Handler = std::function<OperatorReply()>;

  OperatorServer() = default;
  ~OperatorServer();
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;

  void AddHandler(const std::string& path, Handler handler);  // before Start
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

// ---- 5. StopSignal ------------------------------------------------------------------------------

// Blocks the calling thread until SIGTERM or SIGINT arrives, then calls on_stop once and returns
// when stopped turns true. A second signal makes it return at once.
void RunUntilStopped(const std::function<void()>& on_stop, const std::atomic<bool>& stopped);

// Milliseconds since 1970 at the call; used as the incarnation of a process.
Incarnation MakeIncarnation();

}  // namespace ibishold

#endif  // IBISHOLD_DAEMON_H_
