// The control socket: a Unix socket on which a running dispatcher answers queries, one line each way. Queries
// only read; nothing can be changed over it. Only the file's owner can connect.
#ifndef ALDERSILL_SRC_CONTROL_CONTROL_H_
#define ALDERSILL_SRC_CONTROL_CONTROL_H_

#include <functional>
#include <optional>
#include <string>

#include "net/line_server.h"

namespace aldersill::control {

class Server {
 public:
  // The answer to a query, without a line end; nothing for an unknown query.
  using QueryHandler = std::function<std::optional<std::string>(const std::string& query)>;

  // Listens at `path`. Replaces a socket that a killed process left there. Throws std::runtime_error if it
  // cannot listen, as where another process does.
  Server(event_base* base, std::string path, QueryHandler handler);
  // Removes the socket's file.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

 private:
  const std::string path_;
  LineServer server_;
};

// Sends a query to the process that listens at `path` and waits for the answer, without its line end. Each
// read and write may take 5 s. Nothing if no process listens there or the answer does not arrive complete.
// Throws std::runtime_error for a path that no socket can have.
std::optional<std::string> Query(const std::string& path, const std::string& query);

}  // namespace aldersill::control

#endif  // ALDERSILL_SRC_CONTROL_CONTROL_H_
