#pragma once

#include <LibCore/Units.h>

namespace jaybridge {

/// How many requests a gateway keeps on one instance: additive increase and
/// multiplicative decrease (Chiu and Jain 1989) between 1 and the announced
/// slots. Several gateways share an instance, so each must give way when the
/// instance sheds.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(SlotCount Announced);

  SlotCount current() const;
  void setAnnounced(SlotCount Announced);
  /// The instance shed work or timed out.
  void decrease();
  /// A request succeeded while the limit was used up.
  void increase();

private:
  SlotCount Announced_;
  double Value_;
};

} // namespace jaybridge
