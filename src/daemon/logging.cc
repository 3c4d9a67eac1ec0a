#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logmanager.h>

#include "ibishold/daemon.h"

namespace ibishold {

namespace {

// Prefix of all logger names. Not locked, because it is set once, before the first logger exists.
std::string& GetLoggerPrefix() {
  static std::string prefix;
  return prefix;
}

}  // namespace

void ConfigureLogging(const std::string& level, const VmId& vm, const std::string& process) {
  const auto layout = std::make_shared<log4cxx::JSONLayout>();
  const log4cxx::AppenderPtr appender =
      std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
  // Process and VM are part of the logger name. The context map of log4cxx cannot hold them for the
  // whole process, because it is per thread.
  GetLoggerPrefix() = process + "." + vm.value + ".";
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(log4cxx::Level::toLevel(level));
}

log4cxx::LoggerPtr GetLogger(const std::string& name) {
  return log4cxx::Logger::getLogger(GetLoggerPrefix() + name);
}

}  // namespace ibishold
