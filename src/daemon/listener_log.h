// The log line in which each listener reports its address, so that callers can find ports that the kernel
// chose.
#ifndef ALDERSILL_SRC_DAEMON_LISTENER_LOG_H_
#define ALDERSILL_SRC_DAEMON_LISTENER_LOG_H_

#include <string>
#include <string_view>

#include "log/log.h"

namespace aldersill {

// The name of the log event, on which readers of the log depend.
inline constexpr std::string_view kListenerLogEvent = "listening";

// `name`: the listener's published name, such as http or mgmt. `port`: the port that it is bound to.
inline void LogListener(std::string_view name, const std::string& host, int port) {
  Log(LogLevel::kInfo, kListenerLogEvent,
      {{"name", std::string(name)}, {"address", host + ":" + std::to_string(port)}});
}

}  // namespace aldersill

#endif  // ALDERSILL_SRC_DAEMON_LISTENER_LOG_H_
