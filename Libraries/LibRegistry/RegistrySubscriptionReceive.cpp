#include <LibRegistry/RegistrySubscription.h>

#include <LibCore/DecisionRole.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace jaybridge {

void RegistrySubscription::handle(const Event &Incoming, TimePoint Now,
                                  Effects &Out) {
  const std::size_t First = Out.size();
  std::visit([&](const auto &Concrete) { on(Concrete, Now, Out); }, Incoming);
  if (!std::holds_alternative<DocumentRead>(Incoming))
    holdContact(First, Out);
}

void RegistrySubscription::advance(TimePoint Now, Effects &Out) {
  const std::size_t First = Out.size();
  State_.advance(Now, Out);
  holdContact(First, Out);
}

void RegistrySubscription::on(const ReportAttempt &Attempt, TimePoint Now,
                              Effects &) {
  State_.recordAttempt(Attempt, Now);
}

void RegistrySubscription::on(const ReportOverdue &Overdue, TimePoint Now,
                              Effects &) {
  State_.recordOverdue(Overdue, Now);
}

void RegistrySubscription::on(const ReportRetry &Spent, TimePoint Now,
                              Effects &) {
  State_.recordRetrySpent(Spent, Now);
}

void RegistrySubscription::on(const SendTokenRequest &Send, TimePoint,
                              Effects &Out) {
  State_.sendTokenRequest(Send, Out);
}

void RegistrySubscription::on(const MemberConnectionLost &Lost, TimePoint Now,
                              Effects &Out) {
  State_.handleConnectionLost(Lost.Member_, Now, Out);
}

void RegistrySubscription::on(const SubscriptionReceived &Received,
                              TimePoint Now, Effects &Out) {
  std::visit(
      Overloaded{
          [&](const RegistryUpdate &Update) {
            Effects Confirmation;
            if (State_.acceptUpdate(Received.From_, Update, Now, Confirmation))
              receive(Update, Now, Out);
            Out.insert(Out.end(), Confirmation.begin(), Confirmation.end());
          },
          [&](const RegistryHeartbeat &Heartbeat) {
            State_.handleHeartbeat(Received.From_, Heartbeat, Now, Out);
          },
          [&](const RegistryStale &) {
            State_.handleStale(Received.From_, Now, Out);
          },
          [&](const RetriesGranted &Grant) { State_.acceptGrant(Grant, Out); },
          [&](const TokenGrant &Tokens) {
            Out.emplace_back(TokensGranted{Tokens});
          },
          [](const auto &) {},
      },
      Received.Message_);
}

void RegistrySubscription::receive(const RegistryUpdate &Update, TimePoint Now,
                                   Effects &Out) {
  State_.applyInstances(Update, Out);
  if (Update.Document_)
    Configuration_.receive(*Update.Document_);
  if (Update.Delta_)
    if (Status Applied = Configuration_.receive(*Update.Delta_); !Applied) {
      Out.emplace_back(
          DocumentRejected{Update.Delta_->Version_, Applied.takeError()});
      State_.requestFullUpdate(Now, Out);
    }
  State_.setVersion(Configuration_.version());
  startReading(Out);
}

void RegistrySubscription::startReading(Effects &Out) {
  if (auto Document = Configuration_.startReading())
    Out.emplace_back(ReadDocument{std::move(*Document)});
}

void RegistrySubscription::on(const DocumentRead &Read, TimePoint,
                              Effects &Out) {
  Configuration_.finishReading();
  if (Read.Table_)
    Out.emplace_back(RoutingChanged{Read.Table_.value()});
  else
    Out.emplace_back(DocumentRejected{Read.Version_, Read.Table_.error()});
  if (HeldContact_ && Configuration_.lastRead() >= HeldContact_->Version_) {
    Out.emplace_back(std::move(HeldContact_->Change_));
    HeldContact_.reset();
  }
  startReading(Out);
}

void RegistrySubscription::holdContact(std::size_t First, Effects &Out) {
  const auto Begin = Out.begin() + static_cast<std::ptrdiff_t>(First);
  const auto Held = std::remove_if(Begin, Out.end(), [&](const Effect &Each) {
    const auto *Change = std::get_if<ControlMemberChanged>(&Each);
    if (!Change)
      return false;
    // A contact that ends before it was announced is not announced at all.
    if (!Change->Member_)
      return std::exchange(HeldContact_, std::nullopt).has_value();
    if (Configuration_.version() <= Configuration_.lastRead())
      return false;
    HeldContact_ = HeldContact{*Change, Configuration_.version()};
    return true;
  });
  Out.erase(Held, Out.end());
}

} // namespace jaybridge
