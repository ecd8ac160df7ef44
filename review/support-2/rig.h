// Stand-ins for the second review: discovery, workers, clients, and the started dispatcher processes.
// Everything listens on loopback addresses and free ports. Each case is one program that includes this file.
#ifndef ALDERSILL_REVIEW_SUPPORT_2_RIG_H_
#define ALDERSILL_REVIEW_SUPPORT_2_RIG_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

namespace rig {

enum Verdict { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

// ---- Time and record ----

inline double Now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void Sleep(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }
inline void SleepUntil(double time) {
  if (time > Now())
    Sleep(time - Now());
}

struct State {
  std::string root, folder, temp;
  std::FILE* record = nullptr;
  std::mutex mutex;
  std::vector<pid_t> pids;
  bool trouble = true;
};
inline State& Get() {
  static State* state = new State;  // never destroyed: detached threads may still use it at the exit
  return *state;
}

[[gnu::format(printf, 1, 2)]] inline void Record(const char* format, ...) {
  std::array<char, 2048> text{};
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text.data(), text.size(), format, arguments);
  va_end(arguments);
  const std::lock_guard lock(Get().mutex);
  std::fprintf(Get().record, "%9.4f %s\n", Now(), text.data());
  std::fflush(Get().record);
}

// Ends all started processes, removes the temporary folder and exits with the verdict.
[[noreturn]] inline void Finish(Verdict verdict, const std::string& why) {
  const char* const kNames[] = {"the rule held", "THE RULE WAS BROKEN", "the case could not run"};
  Record("%s: %s", kNames[verdict], why.c_str());
  std::printf("%s: %s\n", kNames[verdict], why.c_str());
  std::fflush(stdout);
  for (const pid_t pid : Get().pids) {
    kill(pid, SIGKILL);
    waitpid(pid, nullptr, 0);
  }
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr)
    std::filesystem::remove_all(Get().temp, ignored);
  _exit(verdict);
}

inline std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}
inline void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new") << text;
  std::filesystem::rename(path + ".new", path);
}
inline std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  if (at == std::string::npos)
    Finish(kCouldNotRun, "no '" + from + "' in the configuration");
  return text.replace(at, from.size(), to);
}

// Arguments: the repository's root and the case's folder.
inline void Begin(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  Now();
  State& state = Get();
  if (argc != 3)
    _exit(kCouldNotRun);
  state.root = argv[1];
  state.folder = argv[2];
  state.record = std::fopen((state.folder + "/record.txt").c_str(), "w");
  if (state.record == nullptr)
    _exit(kCouldNotRun);
  const char* trouble = std::getenv("TROUBLE");
  state.trouble = trouble == nullptr || std::string(trouble) != "0";
  // Short, as the processes of an upgrade put a Unix socket below it, whose path may hold 107 bytes.
  constexpr std::size_t kLongestFolder = 40;
  std::error_code no_folder;
  std::string base = std::filesystem::temp_directory_path(no_folder).string();
  if (no_folder || base.size() > kLongestFolder)
    base = "/tmp";
  std::string pattern = base + "/ar-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr)
    Finish(kCouldNotRun, "no temporary folder");
  state.temp = pattern;
  Record("trouble: %s", state.trouble ? "yes" : "no");
}
inline bool Trouble() { return Get().trouble; }

// ---- Sockets ----

inline sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline std::string Address(int port) { return "127.0.0.1:" + std::to_string(port); }

// A listening socket on a free port.
inline int Listen(int* port, int type = SOCK_STREAM) {
  const int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      (type == SOCK_STREAM && listen(fd, 256) != 0) ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    Finish(kCouldNotRun, "cannot listen on a loopback port");
  *port = ntohs(address.sin_port);
  return fd;
}
inline int FreePort(int type = SOCK_STREAM) {
  int port = 0;
  close(Listen(&port, type));
  return port;
}

inline int Connect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = Loopback(port);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
    return fd;
  close(fd);
  return -1;
}
inline bool Write(int fd, std::string_view text) {
  while (!text.empty()) {
    const ssize_t size = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (size <= 0)
      return false;
    text.remove_prefix(static_cast<std::size_t>(size));
  }
  return true;
}
// Appends what arrives next. False at the end, after an error, or if nothing comes in time.
inline bool ReadMore(int fd, std::string* text, double seconds) {
  pollfd readable{fd, POLLIN, 0};
  if (poll(&readable, 1, static_cast<int>(seconds * 1000)) <= 0)
    return false;
  std::array<char, 65536> bytes{};
  const ssize_t size = recv(fd, bytes.data(), bytes.size(), 0);
  if (size <= 0)
    return false;
  text->append(bytes.data(), static_cast<std::size_t>(size));
  return true;
}

// ---- HTTP ----

struct Message {
  std::string first_line, head, body;
  bool complete = false;
  std::string Field(const std::string& name) const {
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
      return "";
    const std::size_t begin = at + 4 + name.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
  }
  int status() const { return complete && first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
};

// Reads one message whose body has a Content-Length.
inline Message ReadMessage(int fd, double seconds) {
  Message message;
  std::string text;
  const double end = Now() + seconds;
  std::size_t head_end = std::string::npos;
  while ((head_end = text.find("\r\n\r\n")) == std::string::npos) {
    if (Now() >= end || !ReadMore(fd, &text, end - Now()))
      return message;
  }
  message.head = text.substr(0, head_end + 2);
  message.first_line = text.substr(0, text.find("\r\n"));
  message.body = text.substr(head_end + 4);
  const std::string length = message.Field("Content-Length");
  const std::size_t size = length.empty() ? 0 : std::stoul(length);
  while (message.body.size() < size) {
    if (Now() >= end || !ReadMore(fd, &message.body, end - Now()))
      return message;
  }
  message.complete = true;
  return message;
}

inline std::string JobText(const std::string& id, const std::string& job_class, int deadline_ms,
                           const std::string& body = "{}") {
  std::string text = "POST /" + job_class +
                     "/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: " + id +
                     "\r\nReq-Kind: " + job_class +
                     "\r\nReq-Owner: hogar-del-sur\r\nReq-Deadline: " + std::to_string(deadline_ms) + "m\r\n";
  if (job_class == "promesa")
    text += "Idempotency-Key: key-" + id + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string Chunk(const std::string& text) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
  return size.data() + text + "\r\n";
}
inline const char* const kWorkerHead =
    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";

// A server that runs `serve` on each connection in a thread of its own. The descriptor is closed afterwards.
class Server {
 public:
  explicit Server(std::function<void(int)> serve) : serve_(std::move(serve)) {
    listener_ = Listen(&port_);
    std::thread([this] { Accept(); }).detach();
  }
  int port() const { return port_; }

 private:
  void Accept() const {
    for (;;) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0)
        return;
      const int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] {
        serve_(fd);
        close(fd);
      }).detach();
    }
  }

  const std::function<void(int)> serve_;
  int listener_ = -1;
  int port_ = 0;
};

// ---- Discovery ----

struct Entry {
  std::string id;
  int port = 0;
  std::string zone = "quilicura", state = "SERVING";
  std::string Json() const {
    return R"({"id":")" + id + R"(","addr":")" + Address(port) + R"(","zone":")" + zone +
           R"(","kind":"tipo-grande","cell":0,"state":")" + state + R"(","weight":1.0,"started_ms":0})";
  }
};

class Discovery {
 public:
  explicit Discovery(std::vector<Entry> entries) : entries_(std::move(entries)) {}
  int port() const { return server_.port(); }
  // Changes one worker and answers the open watches.
  void Change(const Entry& changed) {
    const std::lock_guard lock(mutex_);
    ++version_;
    for (Entry& entry : entries_) {
      if (entry.id == changed.id)
        entry = changed;
    }
    changed_[version_] = changed;
    condition_.notify_all();
  }

 private:
  void Serve(int fd) {
    for (;;) {
      const Message request = ReadMessage(fd, 120);
      if (!request.complete)
        return;
      const std::string body = Answer(request.first_line);
      if (!Write(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                         std::to_string(body.size()) + "\r\n\r\n" + body))
        return;
    }
  }
  std::string Answer(const std::string& line) {
    std::unique_lock lock(mutex_);
    const std::size_t index_at = line.find("index=");
    const std::size_t wait_at = line.find("wait=");
    int index = index_at == std::string::npos ? -1 : std::atoi(line.c_str() + index_at + 6);
    if (index < kFirstVersion)
      index = -1;  // a version of before this discovery's time: the whole list
    const int wait = wait_at == std::string::npos ? 0 : std::atoi(line.c_str() + wait_at + 5);
    if (index >= 0)
      condition_.wait_for(lock, std::chrono::milliseconds(wait), [&] { return version_ > index; });
    std::string list;
    const auto add = [&list](const Entry& entry) { list += (list.empty() ? "" : ",") + entry.Json(); };
    if (index < 0) {
      for (const Entry& entry : entries_)
        add(entry);
    } else {
      for (auto change = changed_.upper_bound(index); change != changed_.end(); ++change)
        add(change->second);
    }
    return R"({"version":)" + std::to_string(version_) + R"(,"full":)" + (index < 0 ? "true" : "false") +
           R"(,"servers":[)" + list + "]}";
  }

  std::mutex mutex_;
  std::condition_variable condition_;
  std::vector<Entry> entries_;
  std::map<int, Entry> changed_;
  static constexpr int kFirstVersion = 100;
  int version_ = kFirstVersion;
  Server server_{[this](int fd) { Serve(fd); }};
};

// ---- Dispatchers ----

// The value of `run` in the deploy file.
inline std::string RunCommand() {
  const std::string deploy = ReadFile(Get().root + "/deploy/balancer.toml");
  const std::size_t at = deploy.find("\nrun = \"");
  if (at == std::string::npos)
    Finish(kCouldNotRun, "deploy/balancer.toml has no run command");
  const std::size_t begin = at + 8;
  return deploy.substr(begin, deploy.find('"', begin) - begin);
}

// Starts `run` with these variables; its log goes to `log` in the temporary folder.
inline pid_t StartDispatcher(const std::map<std::string, std::string>& variables, const std::string& log) {
  const std::string run = RunCommand();
  const std::string log_path = Get().temp + "/" + log;
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (chdir(Get().root.c_str()) != 0 || std::freopen(log_path.c_str(), "a", stderr) == nullptr ||
        std::freopen(log_path.c_str(), "a", stdout) == nullptr)
      _exit(127);
    for (const char* name : {"ALDERSILL_SETTINGS", "ALDERSILL_FRONTS"})
      unsetenv(name);
    if (const char* settings = std::getenv("REVIEW_SETTINGS"); settings != nullptr)
      setenv("ALDERSILL_SETTINGS", settings, 1);  // to look at a run by hand
    for (const auto& [name, value] : variables)
      setenv(name.c_str(), value.c_str(), 1);
    execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
    _exit(127);
  }
  if (pid < 0)
    Finish(kCouldNotRun, "fork");
  const std::lock_guard lock(Get().mutex);
  Get().pids.push_back(pid);
  return pid;
}

inline bool HasEnded(pid_t pid) {
  siginfo_t info{};
  return waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOHANG | WNOWAIT) == 0 && info.si_pid == pid;
}

// One operator's call. Empty if nothing answers.
inline std::string Call(int port, const std::string& line) {
  const int fd = Connect(port);
  std::string text;
  if (fd < 0)
    return text;
  if (Write(fd, line + "\n")) {
    while (ReadMore(fd, &text, 1.0)) {
    }
  }
  close(fd);
  return text;
}

// Waits until the process takes clients.
inline void AwaitHealth(pid_t pid, int mgmt_port) {
  for (const double end = Now() + 15; Now() < end; Sleep(0.02)) {
    if (Call(mgmt_port, "HEALTH").starts_with("OK"))
      return;
    if (HasEnded(pid))
      Finish(kCouldNotRun, "a dispatcher ended at its start");
  }
  Finish(kCouldNotRun, "a dispatcher does not get ready");
}

}  // namespace rig

#endif  // ALDERSILL_REVIEW_SUPPORT_2_RIG_H_
