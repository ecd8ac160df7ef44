// A client of an SNMP v2c agent on loopback, over UDP, with Net-SNMP's library. For tests and `snmp_check`.
#ifndef ALDERSILL_TOOLS_SNMP_PROBE_H_
#define ALDERSILL_TOOLS_SNMP_PROBE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace aldersill::tools {

// The root of ALDERSILL-MIB.
constexpr char kAldersillMib[] = "1.3.6.1.4.1.8072.9999.9999.7419";

class SnmpProbe {
 public:
  // `timeout_ms`: limit of the wait for each response.
  explicit SnmpProbe(std::uint16_t port, std::string community = "public", int timeout_ms = 5'000);

  struct Binding {
    std::string id;     // object identifier in dotted form
    std::string value;  // as text, or the exception in its place: noSuchObject, noSuchInstance, endOfMibView
  };
  // These return no value if no response arrives in time. If the agent reports an error, `value` is its name.
  // They throw std::runtime_error if the identifier is malformed or no session can be opened.
  std::optional<Binding> Get(const std::string& id) { return SendRequest(Request::kGet, id); }
  std::optional<Binding> GetNext(const std::string& id) { return SendRequest(Request::kGetNext, id); }
  std::optional<Binding> Set(const std::string& id, long value) {
    return SendRequest(Request::kSet, id, value);
  }
  // All bindings below an identifier, read by GETNEXT requests.
  std::vector<Binding> Walk(const std::string& root);

 private:
  enum class Request { kGet, kGetNext, kSet };
  void* OpenSession();
  std::optional<Binding> SendRequest(Request kind, const std::string& id, long value = 0);
  std::string peer_;
  std::string community_;
  int timeout_ms_;
};

}  // namespace aldersill::tools

#endif  // ALDERSILL_TOOLS_SNMP_PROBE_H_
