#include "harness.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace review {
namespace {

using aldersill::tools::FaktorySession;
using aldersill::tools::Wire;
using Clock = std::chrono::steady_clock;

constexpr unsigned kLongestCaseSeconds = 110;
constexpr int kMaxProcesses = 8;

const Clock::time_point kStart = Clock::now();
std::atomic<pid_t> started[kMaxProcesses];
std::atomic<int> started_count = 0;

std::string Variable(const char* name, const std::string& fallback) {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

void KillAll() {
  for (int i = 0; i < started_count; ++i) {
    if (const pid_t pid = started[i].exchange(0); pid > 0)
      kill(pid, SIGKILL);
  }
}

void OnAlarm(int /*number*/) {
  KillAll();
  _exit(static_cast<int>(Verdict::kCannotRun));
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string FirstWord(const std::string& text) { return text.substr(0, text.find(' ')); }

// The label of a fetched job: the first word of its first argument. A job of a platform client has its body
// as the argument.
std::string LabelOf(const nlohmann::json& job) {
  const auto& args = job.at("args");
  return args.empty() || !args[0].is_string() ? "" : FirstWord(args[0].get<std::string>());
}

}  // namespace

double SecondsSinceStart() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }

void SleepUntil(double seconds_since_start) {
  std::this_thread::sleep_until(kStart + std::chrono::duration_cast<Clock::duration>(
                                             std::chrono::duration<double>(seconds_since_start)));
}

// ---- Record ----

Record::Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {
  if (file_ == nullptr)
    throw std::runtime_error("cannot write " + path);
}

void Record::Write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  std::fprintf(file_, "%8.3f  %s\n", SecondsSinceStart(), line.c_str());
  std::fflush(file_);
}

// ---- Dispatcher ----

Dispatcher::Dispatcher(const std::string& name, const std::string& settings_yaml,
                       const std::map<std::string, std::string>& environment) {
  const std::string folder = Variable("CASE_FOLDER", ".");
  log_path_ = folder + "/" + name + ".log";
  const std::string settings_path = folder + "/" + name + ".yaml";
  std::ofstream(settings_path) << settings_yaml;
  std::map<std::string, std::string> variables = environment;
  variables["ALDERSILL_SETTINGS"] = settings_path;
  const std::string command = Variable("RUN_COMMAND", "exec build/aldersill");
  pid_ = fork();
  if (pid_ < 0)
    throw std::runtime_error("cannot fork");
  if (pid_ == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // the dispatcher ends with the case, also when that is killed
    for (const auto& [variable, value] : variables)
      setenv(variable.c_str(), value.c_str(), 1);
    const int log = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  started[started_count++] = pid_;
}

Dispatcher::~Dispatcher() {
  if (Running()) {
    Signal(SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

std::uint16_t Dispatcher::PortOf(const std::string& listener) const {
  const std::string wanted = "listening name=" + listener + " address=";
  for (int i = 0; i < 500; ++i) {
    const std::string log = ReadFile(log_path_);
    const std::size_t line = log.find(wanted);
    const std::size_t end = line == std::string::npos ? line : log.find('\n', line);
    if (end != std::string::npos) {
      const std::size_t colon = log.find(':', line + wanted.size());
      return static_cast<std::uint16_t>(std::stoi(log.substr(colon + 1, end - colon - 1)));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  throw std::runtime_error("the dispatcher has no listener " + listener);
}

void Dispatcher::AwaitReady(std::uint16_t http_port) const {
  for (int i = 0; i < 600; ++i) {
    try {
      Wire wire(aldersill::tools::ConnectTo(http_port));
      wire.Write("GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n");
      if (aldersill::tools::ReadHttp(&wire).start.find(" 200 ") != std::string::npos)
        return;
    } catch (const std::exception&) {  // not listening yet
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  throw std::runtime_error("the dispatcher does not get ready");
}

void Dispatcher::Signal(int number) const { kill(pid_, number); }

bool Dispatcher::Running() {
  if (pid_ <= 0)
    return false;
  if (waitpid(pid_, nullptr, WNOHANG) == 0)
    return true;
  for (auto& pid : started) {
    if (pid == pid_)
      pid = 0;
  }
  pid_ = -1;
  return false;
}

// ---- Workers ----

std::size_t Runs::Begin(const std::string& worker, const std::string& id, const std::string& label) {
  const std::lock_guard lock(mutex_);
  runs_.push_back({worker, id, label, SecondsSinceStart(), -1.0});
  record_->Write("run   " + worker + " begins " + id + " " + label);
  return runs_.size() - 1;
}

void Runs::End(std::size_t run) {
  const std::lock_guard lock(mutex_);
  runs_[run].end = SecondsSinceStart();
  record_->Write("run   " + runs_[run].worker + " ends " + runs_[run].id + " " + runs_[run].label);
}

std::vector<Run> Runs::All() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

void StartFaktorySlot(std::uint16_t port, const std::string& wid, Runs* runs,
                      std::function<int(const std::string&)> run_ms) {
  std::thread([port, wid, runs, run_ms = std::move(run_ms)] {
    try {
      FaktorySession session(port, wid);
      while (true) {
        const auto fetched = session.SendCommand("FETCH default");
        if (!fetched)
          continue;
        const nlohmann::json job = nlohmann::json::parse(*fetched);
        const std::string jid = job.at("jid");
        const std::string label = LabelOf(job);
        const std::size_t run = runs->Begin(wid, jid, label);
        std::this_thread::sleep_for(std::chrono::milliseconds(run_ms(label)));
        runs->End(run);
        session.SendCommand("ACK " + nlohmann::json{{"jid", jid}, {"result", "made for " + label}}.dump());
      }
    } catch (const std::exception&) {  // the session has ended
    }
  }).detach();
}

namespace {

std::string Ok(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

Discovery::Discovery(std::string servers_json)
    : servers_json_(std::move(servers_json)),
      server_(0, [this](const aldersill::tools::HttpMessage& request) { return Answer(request); }) {}

std::string Discovery::Answer(const aldersill::tools::HttpMessage& request) const {
  if (request.start.find("index=2&") == std::string::npos)
    return Ok(R"({"version":2,"full":true,"servers":)" + servers_json_ + "}");
  const std::size_t wait = request.start.find("wait=");
  if (wait != std::string::npos)
    std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(request.start.substr(wait + 5))));
  return Ok(R"({"version":2,"full":false,"servers":[]})");
}

HttpWorker::HttpWorker(std::string name, int job_ms, Runs* runs)
    : name_(std::move(name)),
      job_ms_(job_ms),
      runs_(runs),
      server_(0, [this](const aldersill::tools::HttpMessage& request) { return Answer(request); }) {}

std::string HttpWorker::Entry() const {
  const nlohmann::json entry = {
      {"id", name_},         {"addr", "127.0.0.1:" + std::to_string(server_.port())},
      {"zone", "quilicura"}, {"kind", "tipo-grande"},
      {"cell", 0},           {"state", "SERVING"},
      {"weight", 1.0},       {"started_ms", 0}};
  return entry.dump();
}

std::string HttpWorker::Answer(const aldersill::tools::HttpMessage& request) const {
  if (request.start.starts_with("GET /-/"))
    return Ok(R"({"qps":1.0,"latency_ms":1000.0,"util":0.3,"x0":3})");
  const std::string id = request.Header("Req-Id");
  const std::size_t run = runs_->Begin(name_, id, FirstWord(request.body));
  std::this_thread::sleep_for(std::chrono::milliseconds(job_ms_));
  runs_->End(run);
  return Ok(nlohmann::json{{"id", id}, {"from", name_}, {"state", "done"}, {"result", "ran " + id}}.dump() +
            "\n");
}

// ---- Clients ----

std::optional<HttpAnswer> PostJob(std::uint16_t port, const std::string& job_class, const std::string& id,
                                  int deadline_ms, const std::string& body) {
  try {
    Wire wire(aldersill::tools::ConnectTo(port));
    const aldersill::tools::HttpMessage answer =
        aldersill::tools::Post(&wire, job_class, id, "hogar-del-sur", deadline_ms, body);
    return HttpAnswer{std::stoi(answer.start.substr(answer.start.find(' ') + 1)), answer.body};
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string PushCommand(const std::string& job_class, const std::string& jid, const std::string& argument) {
  const nlohmann::json job = {{"jid", jid},
                              {"jobtype", job_class},
                              {"args", nlohmann::json::array({argument})},
                              {"custom", {{"tenant", "hogar-del-sur"}}}};
  return "PUSH " + job.dump();
}

std::optional<std::string> Push(FaktorySession* session, const std::string& command) {
  try {
    return session->SendCommand(command).value_or("null");
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

// ---- Case ----

int RunCase(const std::function<Verdict(Record*, bool)>& run) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);  // the case ends with its script
  signal(SIGPIPE, SIG_IGN);
  signal(SIGALRM, OnAlarm);
  alarm(kLongestCaseSeconds);
  Verdict verdict = Verdict::kCannotRun;
  Record record(Variable("RECORD", "record.txt"));
  const bool trouble = Variable("TROUBLE", "1") != "0";
  record.Write(trouble ? "case  with the disruption" : "case  without the disruption (TROUBLE=0)");
  try {
    verdict = run(&record, trouble);
  } catch (const std::exception& error) {
    record.Write(std::string("case  cannot run: ") + error.what());
  }
  constexpr const char* kNames[] = {"the rule held", "THE RULE WAS BROKEN", "the case could not run"};
  record.Write(std::string("case  ") + kNames[static_cast<int>(verdict)]);
  std::printf("%s\n", kNames[static_cast<int>(verdict)]);
  std::fflush(stdout);
  KillAll();
  while (waitpid(-1, nullptr, 0) > 0 || errno == EINTR) {
  }
  _exit(static_cast<int>(verdict));  // without waiting for the threads of the stand-ins
}

}  // namespace review
