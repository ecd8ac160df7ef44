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
  // `timeout_ms`: for each answer.
  explicit SnmpProbe(std::uint16_t port, std::string community = "public", int timeout_ms = 5'000);

  struct Binding {
    std::string id;     // dotted
    std::string value;  // as text, or the reason why there is none: noSuchInstance, endOfMibView
  };
  // These return nothing if no answer arrives in time. An error that the agent reports is in `value`, by its
  // name. They throw std::runtime_error for a malformed identifier.
  std::optional<Binding> Get(const std::string& id) { return SendRequest(Request::kGet, id); }
  std::optional<Binding> GetNext(const std::string& id) { return SendRequest(Request::kGetNext, id); }
  std::optional<Binding> Set(const std::string& id, long value) {
    return SendRequest(Request::kSet, id, value);
  }
  // All bindings below an identifier, by GETNEXT.
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
