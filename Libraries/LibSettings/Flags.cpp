#include <LibSettings/Settings.h>

#include <gflags/gflags.h>

#include <cstdlib>

// Numbers are text as well, so that errors name the permitted range.
DEFINE_string(duty, "", "all, gateway or control");
DEFINE_string(member_id, "", "id of this daemon, unique in the fleet");
DEFINE_string(failure_domain, "", "failure domain of this VM");
DEFINE_string(caller_address, "", "listening address for callers");
DEFINE_string(announce_address, "", "listening address for announcements");
DEFINE_string(operator_address, "", "listening address for operators");
DEFINE_string(peer_address, "", "listening address for other daemons");
DEFINE_string(advertise_peer_address, "",
              "address at which other daemons reach this one");
DEFINE_string(seeds, "", "peer addresses of some daemons, A.B.C.D:PORT,...");
DEFINE_string(seed_peer_port, "",
              "peers' port at the seeds, when they name another listener's");
DEFINE_string(status_address, "",
              "listening address for readiness and metrics");
DEFINE_string(first_start, "", "true when the whole system starts afresh");
DEFINE_string(open_listeners, "",
              "true when operators, upstreams and peers need no token");
DEFINE_string(grace_ms, "", "time from a stop to a forced end, milliseconds");
DEFINE_string(data_folder, "", "makes this daemon a control member");
DEFINE_string(address_file, "", "file for the addresses in use");
DEFINE_string(control_members, "", "ids of the control members, ID,...");
DEFINE_string(operator_token_file, "", "file with the operators' token");
DEFINE_string(announce_token_file, "", "file with the upstreams' token");
DEFINE_string(peer_token_file, "", "file with the daemons' token");
DEFINE_string(body_limit_bytes, "", "longest body of a request");
DEFINE_string(answer_limit_bytes, "", "longest body of an answer");
DEFINE_string(queue_limit, "", "requests that wait in one queue");
DEFINE_string(log_level, "", "debug, info, warning, error or off");
DEFINE_bool(check_settings, false, "check the settings and end");

namespace jaybridge {

namespace {

constexpr const char *Flags[] = {"duty",
                                 "member-id",
                                 "seed-peer-port",
                                 "status-address",
                                 "first-start",
                                 "open-listeners",
                                 "grace-ms",
                                 "failure-domain",
                                 "caller-address",
                                 "announce-address",
                                 "operator-address",
                                 "peer-address",
                                 "advertise-peer-address",
                                 "seeds",
                                 "data-folder",
                                 "control-members",
                                 "address-file",
                                 "operator-token-file",
                                 "announce-token-file",
                                 "peer-token-file",
                                 "body-limit-bytes",
                                 "answer-limit-bytes",
                                 "queue-limit",
                                 "log-level",
                                 "check-settings"};

char upperCase(char Character) {
  return Character >= 'a' && Character <= 'z'
             ? static_cast<char>(Character - 'a' + 'A')
             : Character;
}

std::string valueOf(const std::string &Flag) {
  std::string Name = Flag;
  for (char &Each : Name)
    Each = Each == '-' ? '_' : Each;
  gflags::CommandLineFlagInfo Info;
  if (!gflags::GetCommandLineFlagInfo(Name.c_str(), &Info))
    return {};
  if (!Info.is_default)
    return Info.current_value;
  const char *Given = std::getenv(environmentVariableName(Flag).c_str());
  return Given ? Given : Info.default_value;
}

} // namespace

std::string environmentVariableName(const std::string &Flag) {
  std::string Name = "JAYBRIDGE_";
  for (char Each : Flag)
    Name += Each == '-' ? '_' : upperCase(Each);
  return Name;
}

Result<Settings> readSettings(int Count, char **Arguments) {
  gflags::SetUsageMessage("sits between callers and upstreams.\nEach flag is "
                          "also read from JAYBRIDGE_ and its name in upper "
                          "case.");
  gflags::SetVersionString(JAYBRIDGE_VERSION);
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  if (Count > 1)
    return Error{ErrorCode::Invalid,
                 std::string("unexpected argument '") + Arguments[1] + "'",
                 {}};
  SettingValues Text;
  for (const char *Flag : Flags)
    Text[Flag] = valueOf(Flag);
  return Settings::create(Text);
}

} // namespace jaybridge
