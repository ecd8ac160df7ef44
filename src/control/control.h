// The control socket: a Unix socket on which a running instance answers questions, one line each way.
// Questions only: nothing can be changed over it. The file is its owner's alone.
#ifndef ALDERSILL_SRC_CONTROL_CONTROL_H_
#define ALDERSILL_SRC_CONTROL_CONTROL_H_

#include <functional>
#include <optional>
#include <string>

#include "net/line_server.h"

namespace aldersill::control {

class Server {
 public:
  // `answer`: what to say to a question, without a line's end; nothing for one that is not known. Throws
  // std::runtime_error if it cannot listen, as where a running instance does. A file that a dead one left is
  // replaced.
  Server(event_base* base, const std::string& path,
         std::function<std::optional<std::string>(const std::string&)> answer);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  std::string path_;
  LineServer server_;
};

// Asks the instance that listens there, waiting for 5 s at most; nothing if none does, or it does not answer.
std::optional<std::string> Ask(const std::string& path, const std::string& question);

}  // namespace aldersill::control

#endif  // ALDERSILL_SRC_CONTROL_CONTROL_H_
