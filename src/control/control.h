// The control socket: a Unix socket at which a running dispatcher answers queries. A query is one line, and
// so is its answer. Queries only read and cannot change the dispatcher. Only the file's owner can connect.
#ifndef ALDERSILL_SRC_CONTROL_CONTROL_H_
#define ALDERSILL_SRC_CONTROL_CONTROL_H_

#include <functional>
#include <optional>
#include <string>

#include "net/line_server.h"

namespace aldersill::control {

class Server {
 public:
  // Returns the answer to a query, without a line end; nothing if the query is unknown.
  using QueryHandler = std::function<std::optional<std::string>(const std::string& query)>;

  // Listens at `path`. Replaces a socket that a killed process left there. Throws std::runtime_error if it
  // cannot listen, for example because another process listens there.
  Server(event_base* base, std::string path, QueryHandler handler);
  // Removes the socket's file.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  const std::string path_;
  LineServer server_;
};

// Sends a query to the process that listens at `path` and returns the answer without its line end. Each read
// and each write may take up to 5 s. Returns nothing if no process listens there or the answer does not
// arrive complete. Throws std::runtime_error if the path is too long for a Unix socket.
std::optional<std::string> Query(const std::string& path, const std::string& query);

}  // namespace aldersill::control

#endif  // ALDERSILL_SRC_CONTROL_CONTROL_H_
