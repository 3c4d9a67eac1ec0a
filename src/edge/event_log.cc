#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>

#include "ibishold/edge.h"

namespace ibishold {

namespace {

// A pipe that polls as writable accepts this many bytes without blocking (POSIX PIPE_BUF).
constexpr std::size_t kMaxWriteBytes = 4096;
constexpr int kWritesPerFlush = 16;

std::uint64_t UnixMilliseconds() {
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

bool IsWritable(int descriptor) {
  pollfd waiting = {.fd = descriptor, .events = POLLOUT, .revents = 0};
  return poll(&waiting, 1, 0) == 1 && (waiting.revents & POLLOUT) != 0;
}

}  // namespace

EventLog::EventLog(boost::asio::io_context& context, EventLogOptions options, int descriptor)
    : options(options), descriptor(descriptor), timer(context) {}

bool EventLog::has_room() const {
  return this->lines_in_second < this->options.lines_per_second &&
         this->buffer.size() < this->options.buffer_limit;
}

void EventLog::Write(std::string_view event, const std::vector<LogField>& fields) {
  const std::uint64_t now = UnixMilliseconds() / 1000;
  if (now != this->current_second) {
    this->current_second = now;
    this->lines_in_second = 0;
  }
  if (!this->has_room()) {
    ++this->dropped_total;
    return;
  }
  ++this->lines_in_second;
  this->Append(event, fields);
}

void EventLog::WriteUnthrottled(std::string_view event, const std::vector<LogField>& fields) {
  if (this->buffer.size() >= this->options.buffer_limit) {
    ++this->dropped_total;
    return;
  }
  this->Append(event, fields);
}

void EventLog::Append(std::string_view event, const std::vector<LogField>& fields) {
  boost::json::object line;
  line["time_ms"] = UnixMilliseconds();
  line["event"] = boost::json::string(event);
  for (const LogField& field : fields) {
    line[boost::json::string_view(field.key.data(), field.key.size())] = field.value;
  }
  this->buffer += boost::json::serialize(line);
  this->buffer += '\n';
  this->ScheduleFlush();
}

void EventLog::ScheduleFlush() {
  if (this->scheduled) {
    return;
  }
  this->scheduled = true;
  this->timer.expires_after(this->options.flush_interval);
  this->timer.async_wait([this](boost::system::error_code error) {
    this->scheduled = false;
    if (!error) {
      this->Flush();
    }
  });
}

void EventLog::Flush() {
  if (this->dropped_total != this->dropped_reported &&
      this->buffer.size() < this->options.buffer_limit) {
    const std::uint64_t dropped = this->dropped_total - this->dropped_reported;
    this->dropped_reported = this->dropped_total;
    this->Append("log_dropped", {{"lines", std::to_string(dropped)}});
  }
  std::size_t done = 0;
  for (int i = 0; i < kWritesPerFlush && done < this->buffer.size(); ++i) {
    if (!IsWritable(this->descriptor)) {
      break;
    }
    const ssize_t written = write(this->descriptor, this->buffer.data() + done,
                                  std::min(kMaxWriteBytes, this->buffer.size() - done));
    if (written <= 0) {
      break;
    }
    done += static_cast<std::size_t>(written);
  }
  this->buffer.erase(0, done);
  if (!this->buffer.empty()) {
    this->ScheduleFlush();
  }
}

}  // namespace ibishold
