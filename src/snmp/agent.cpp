#include "snmp/agent.h"

#include <sys/select.h>

// clang-format off
// Net-SNMP's headers come in this order, and not without the first.
#include <net-snmp/net-snmp-config.h>
#include <net-snmp/net-snmp-includes.h>
#include <net-snmp/agent/net-snmp-agent-includes.h>
#include <net-snmp/library/snmpIPBaseDomain.h>
#include <net-snmp/library/snmpUDPDomain.h>
// clang-format on

#include <tcpd.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "log/log.h"

namespace aldersill::snmp {
namespace {

// Below netSnmpPlaypen, as the project has no enterprise number of its own.
constexpr oid kRoot[] = {1, 3, 6, 1, 4, 1, 8072, 9999, 9999, 7419};
constexpr std::size_t kRootLength = OID_LENGTH(kRoot);
constexpr char kAccess[] = "rocommunity public 127.0.0.0/8 .1.3.6.1.4.1.8072.9999.9999.7419";

std::function<ObjectMap()> now_standing;  // the library's handlers carry no pointer of ours

ObjectId BelowRoot(const netsnmp_variable_list* var) {
  ObjectId id;
  for (std::size_t i = kRootLength; i < var->name_length; ++i)
    id.push_back(var->name[i]);
  return id;
}

void Give(netsnmp_variable_list* var, const Value& value) {
  if (const auto* gauge = std::get_if<Gauge>(&value)) {
    snmp_set_var_typed_integer(var, ASN_GAUGE, gauge->value);
  } else if (const auto* counter = std::get_if<Counter>(&value)) {
    struct counter64 both {};
    both.high = counter->value >> 32;
    both.low = counter->value & 0xffffffffU;
    snmp_set_var_typed_value(var, ASN_COUNTER64, &both, sizeof(both));
  } else {
    const auto& text = std::get<std::string>(value);
    snmp_set_var_typed_value(var, ASN_OCTET_STR, text.data(), text.size());
  }
}

int Handle(netsnmp_mib_handler*, netsnmp_handler_registration*, netsnmp_agent_request_info* info,
           netsnmp_request_info* requests) {
  const ObjectMap objects = now_standing();
  for (netsnmp_request_info* request = requests; request != nullptr; request = request->next) {
    if (request->processed != 0)
      continue;
    netsnmp_variable_list* var = request->requestvb;
    if (info->mode == MODE_GET) {
      const auto found = objects.find(BelowRoot(var));
      if (found != objects.end()) {
        Give(var, found->second);
      } else {
        netsnmp_set_request_error(info, request, SNMP_NOSUCHINSTANCE);
      }
    } else if (info->mode == MODE_GETNEXT) {
      // What asks from before the root begins at its first object; what is left untouched goes on elsewhere.
      const bool before = snmp_oid_compare(var->name, var->name_length, kRoot, kRootLength) < 0;
      const auto next = before ? objects.begin() : objects.upper_bound(BelowRoot(var));
      if (next == objects.end())
        continue;
      std::vector<oid> name(kRoot, kRoot + kRootLength);
      name.insert(name.end(), next->first.begin(), next->first.end());
      snmp_set_var_objid(var, name.data(), name.size());
      Give(var, next->second);
    }
  }
  return SNMP_ERR_NOERROR;
}

int OnLibraryLog(int, int, void* message, void*) {
  Log(LogLevel::kWarning, "snmp_library", {{"text", static_cast<const snmp_log_message*>(message)->msg}});
  return 0;
}

}  // namespace

Agent::Agent(event_base* base, const Endpoint& listen, std::function<ObjectMap()> objects) {
  now_standing = std::move(objects);
  // Nothing here is looked up by name, kept or configured outside: paths at which there can be nothing.
  setenv("MIBS", "", 1);
  setenv("MIBDIRS", "/dev/null", 1);
  set_persistent_directory("/dev/null");
  set_configuration_directory("/dev/null");
  for (const int option : {NETSNMP_DS_LIB_DONT_READ_CONFIGS, NETSNMP_DS_LIB_DONT_PERSIST_STATE,
                           NETSNMP_DS_LIB_DISABLE_PERSISTENT_LOAD, NETSNMP_DS_LIB_DISABLE_PERSISTENT_SAVE,
                           NETSNMP_DS_LIB_DONT_LOAD_HOST_FILES})
    netsnmp_ds_set_boolean(NETSNMP_DS_LIBRARY_ID, option, 1);
  netsnmp_ds_set_boolean(NETSNMP_DS_APPLICATION_ID, NETSNMP_DS_AGENT_DONT_LOG_TCPWRAPPERS_CONNECTS, 1);
  // The library asks TCP wrappers about each packet: this machine's files are not ours to heed.
  static char none[] = "/dev/null";
  hosts_allow_table = hosts_deny_table = none;
  // What the library has to say goes through the one function for log lines.
  snmp_disable_log();
  snmp_enable_calllog();
  snmp_register_callback(SNMP_CALLBACK_LIBRARY, SNMP_CALLBACK_LOGGING, &OnLibraryLog, nullptr);
  init_agent("aldersill");
  netsnmp_config_remember(const_cast<char*>(kAccess));
  init_snmp("aldersill");
  netsnmp_handler_registration* registration =
      netsnmp_create_handler_registration("aldersill", &Handle, kRoot, kRootLength, HANDLER_CAN_RONLY);
  if (registration == nullptr || netsnmp_register_handler(registration) != MIB_REGISTERED_OK)
    throw std::runtime_error("snmp: cannot register the MIB");

  netsnmp_ep endpoint{};
  endpoint.a.sin = ToSockaddr(listen);
  netsnmp_transport* transport = netsnmp_udp_transport(&endpoint, /*local=*/1);
  if (transport == nullptr || netsnmp_register_agent_nsap(transport) == 0)
    throw std::runtime_error("snmp.listen: cannot listen on " + listen.host + ":" +
                             std::to_string(listen.port));
  if (transport->sock >= FD_SETSIZE)
    throw std::runtime_error("snmp.listen: no descriptor below FD_SETSIZE left");
  port_ = PortOf(transport->sock);
  readable_.reset(event_new(base, transport->sock, EV_READ | EV_PERSIST, &Agent::OnReadable, this));
  event_add(readable_.get(), nullptr);
}

Agent::~Agent() {
  readable_.reset();
  snmp_shutdown("aldersill");
  shutdown_agent();
}

void Agent::OnReadable(evutil_socket_t fd, short, void*) {
  fd_set ready;
  FD_ZERO(&ready);
  FD_SET(fd, &ready);
  snmp_read(&ready);
  netsnmp_check_outstanding_agent_requests();
}

}  // namespace aldersill::snmp
