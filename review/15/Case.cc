// The operator sends an invalid configuration: a route names an unknown service
// beside its split, and Limits cannot be read.
#include "Clients.hh"
#include "Instance.hh"
#include "Record.hh"

using namespace review;

namespace {

/// The route for tickets, as a split that gives all of them to the displays. It
/// names a service that is not among the services, too.
std::string invalidConfiguration() {
  return R"({"Version":5,"Routes":{"ticket":{"Host":"h.example",)"
         R"("PathPrefix":"/ticket/","Kind":"unsafe","TimeoutS":4000,)"
         R"("TargetLatencyS":1000,"Priority":1,"Service":"vouchers",)"
         R"("TrafficSplit":[{"Service":"displays","Weight":100}],)"
         R"("MaxAttempts":2}},"Services":{)"
         R"("tickets":{"HealthPath":"/health","MaxConns":390,)"
         R"("Protocol":"h1","Tls":false},)"
         R"("displays":{"HealthPath":"/health","MaxConns":390,)"
         R"("Protocol":"h1","Tls":false}},"Limits":"MaxHeaderBytes"})";
}

} // namespace

int main(int, char **Arguments) {
  openRecord(Arguments[1]);
  Fleet System({5, 2, 260});
  System.startAll();
  Operator Platform(System);
  const std::string Valid =
      configuration(1, {{"ticket", "unsafe", 4000, "tickets"},
                        {"display", "safe", 4000, "displays"}});
  if (Platform.put(Valid, 20) != 200 || !waitUntilReady(System, 2))
    return finish(Verdict::NotRun, "the system does not get ready");
  const auto Respond = [](const HTTPMessage &) {
    return Instance::Work{0.05, 100};
  };
  Instance FirstTickets(System, "ticket-one", "tickets", 0, Respond);
  Instance SecondTickets(System, "ticket-two", "tickets", 1, Respond);
  Instance FirstDisplay(System, "display-one", "displays", 0, Respond);
  Instance SecondDisplay(System, "display-two", "displays", 1, Respond);
  for (Instance *Joining :
       {&FirstTickets, &SecondTickets, &FirstDisplay, &SecondDisplay})
    if (!Joining->join(5))
      return finish(Verdict::NotRun, "the instances are not acknowledged");
  sleepUntil(10);

  int Status = 0;
  if (hasTrouble()) {
    record("operator: sends " + invalidConfiguration());
    Status = Platform.put(invalidConfiguration(), 5);
  }
  sleepFor(2.5);
  KeptConnection Clients[] = {KeptConnection(System.frontAddress(0)),
                              KeptConnection(System.frontAddress(1))};
  for (int Number = 0; Number < 60; ++Number) {
    const std::string Id = "ticket-" + std::to_string(Number);
    KeptConnection &Client = Clients[Number % 2];
    Client.send("POST", "/ticket/x", Id, 4000, "a ticket");
    record("client: " + Id + " gets " + std::to_string(Client.status()) +
           ", signature " + Client.answer().header("Response-Signature"));
  }
  int Wrong = 0;
  for (const Instance *Display : {&FirstDisplay, &SecondDisplay})
    for (const Arrival &Reached : Display->arrivals())
      if (Reached.HasRun_ && Reached.RequestId_.starts_with("ticket-"))
        ++Wrong;
  std::string Text;
  Platform.get(5, Text);
  const bool IsReadBack = Text != Valid;
  record("the invalid configuration was answered " + std::to_string(Status) +
         "; " + std::to_string(Wrong) +
         " of 60 tickets were run as it says; read back is " +
         (IsReadBack ? "the invalid one" : "the valid one"));
  if (Status == 200 || Wrong > 0 || IsReadBack)
    return finish(Verdict::Broken, "CONFIG: an invalid configuration is "
                                   "acknowledged and in force");
  return finish(Verdict::Held, "no invalid configuration is in force");
}
