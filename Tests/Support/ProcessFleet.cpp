#include <Support/ProcessFleet.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace jaybridge {

namespace {

void writeFile(const std::string &Path, const std::string &Text) {
  std::ofstream(Path) << Text << "\n";
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Parses the address file of a daemon, which has lines of the form
/// NAME=ADDRESS. Returns false while the file is absent or incomplete.
bool readAddresses(const std::string &Path, DaemonAddresses &Addresses) {
  std::map<std::string, Endpoint *> Fields = {
      {"callers", &Addresses.Callers_},
      {"announcements", &Addresses.Announcements_},
      {"operators", &Addresses.Operators_},
      {"peers", &Addresses.Peers_}};
  std::istringstream Lines(readFile(Path));
  for (std::string Line; std::getline(Lines, Line);) {
    std::size_t Equals = Line.find('=');
    auto Field = Fields.find(Line.substr(0, Equals));
    if (Field == Fields.end())
      return false;
    auto Address = Endpoint::create(Line.substr(Equals + 1));
    if (!Address)
      return false;
    *Field->second = Address.takeValue();
    Fields.erase(Field);
  }
  return Fields.empty();
}

std::string joinWithCommas(const std::vector<std::string> &Items) {
  std::string Text;
  for (const std::string &Item : Items)
    Text += (Text.empty() ? "" : ",") + Item;
  return Text;
}

} // namespace

ProcessFleet::ProcessFleet() {
  std::string Template =
      (std::filesystem::temp_directory_path() / "jaybridge-XXXXXX").string();
  JAYBRIDGE_VERIFY(::mkdtemp(Template.data()) != nullptr);
  Folder_ = Template;
  for (const char *Token : {"operator", "announce", "peer"})
    writeFile(Folder_ + "/" + Token + ".token",
              std::string(Token) + "-token-of-a-test");
}

ProcessFleet::~ProcessFleet() {
  Daemons_.clear();
  Upstreams_.clear();
  std::error_code Ignored;
  std::filesystem::remove_all(Folder_, Ignored);
}

std::string
ProcessFleet::joinAddresses(Endpoint DaemonAddresses::*Listener) const {
  std::vector<std::string> Texts;
  for (const auto &[Id, Addresses] : Addresses_)
    Texts.push_back((Addresses.*Listener).text());
  return joinWithCommas(Texts);
}

bool ProcessFleet::startDaemon(const DaemonOptions &Options) {
  std::string AddressFile = Folder_ + "/" + Options.Id_ + ".addresses";
  std::filesystem::remove(AddressFile);
  std::vector<std::string> Flags = {
      "--member_id=" + Options.Id_,
      "--failure_domain=" + Options.Domain_,
      "--caller_address=" + Options.Address_ + ":0",
      "--announce_address=" + Options.Address_ + ":0",
      "--operator_address=" + Options.Address_ + ":0",
      "--peer_address=" + Options.Address_ + ":0",
      "--seeds=" + joinAddresses(&DaemonAddresses::Peers_),
      "--control_members=" + joinWithCommas(ControlMembers_),
      "--operator_token_file=" + Folder_ + "/operator.token",
      "--announce_token_file=" + Folder_ + "/announce.token",
      "--peer_token_file=" + Folder_ + "/peer.token",
      "--address_file=" + AddressFile};
  Flags.insert(Flags.end(), Options.ExtraFlags_.begin(),
               Options.ExtraFlags_.end());
  if (Options.HasDataFolder_)
    Flags.push_back("--data_folder=" + Folder_ + "/" + Options.Id_ + ".data");
  Daemons_.insert_or_assign(Options.Id_, ChildProcess(JAYBRIDGED_PROGRAM, Flags,
                                                      logPath(Options.Id_)));
  DaemonAddresses Addresses;
  if (!waitUntil([&] { return readAddresses(AddressFile, Addresses); }))
    return false;
  Addresses_[Options.Id_] = Addresses;
  return true;
}

void ProcessFleet::startUpstream(const UpstreamOptions &Options) {
  std::vector<std::string> Flags = {
      "--instance=" + Options.Instance_,
      "--service=" + Options.Service_,
      "--failure_domain=" + Options.Domain_,
      "--address=" + Options.Address_ + ":0",
      "--announce=" + joinAddresses(&DaemonAddresses::Announcements_),
      "--token_file=" + Folder_ + "/announce.token"};
  Flags.insert(Flags.end(), Options.ExtraFlags_.begin(),
               Options.ExtraFlags_.end());
  Upstreams_.insert_or_assign(
      Options.Instance_,
      ChildProcess(FAKE_UPSTREAM_PROGRAM, Flags, logPath(Options.Instance_)));
}

Result<Endpoint>
ProcessFleet::upstreamAddress(const std::string &Instance) const {
  std::istringstream Log(readFile(logPath(Instance)));
  std::string Prefix;
  std::string Address;
  Log >> Prefix >> Address;
  return Endpoint::create(Address);
}

std::pair<int, std::string>
ProcessFleet::runTool(const std::vector<std::string> &Arguments) {
  std::vector<std::string> AllArguments = {
      "--daemon=" + joinAddresses(&DaemonAddresses::Operators_),
      "--token_file=" + Folder_ + "/operator.token"};
  AllArguments.insert(AllArguments.end(), Arguments.begin(), Arguments.end());
  std::string OutputFile = Folder_ + "/tool.output";
  std::filesystem::remove(OutputFile);
  ChildProcess Tool(JAYBRIDGE_PROGRAM, AllArguments, OutputFile);
  int Code = Tool.wait();
  return {Code, readFile(OutputFile)};
}

} // namespace jaybridge
