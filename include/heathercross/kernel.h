// A small kernel that holds services by name.
#pragma once

#include "heathercross/error.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <typeindex>
#include <utility>
#include <vector>

namespace heathercross {

/// A name under which no service, or one of another type, is registered.
class NoSuchService : public Error {
public:
  explicit NoSuchService(const std::string &Name)
      : Error("no service of the wanted type is registered as " + Name) {}
  const char *code() const noexcept override { return "no-such-service"; }
};

/// A second service with a name that is taken.
class ServiceNameTaken : public Error {
public:
  explicit ServiceNameTaken(const std::string &Name)
      : Error("a service is already registered as " + Name) {}
  const char *code() const noexcept override { return "service-name-taken"; }
};

/// A service that can show its state as one JSON text.
template <class T>
concept Dumpable = requires(const T &Service) {
  { Service.dump() } -> std::convertible_to<std::string>;
};

/// Owns the services of one process. Services are started in the order of
/// their registration and destroyed in the reverse order; they find each other
/// by name and type.
class Kernel {
public:
  Kernel() = default;
  Kernel(const Kernel &) = delete;
  Kernel &operator=(const Kernel &) = delete;
  ~Kernel() {
    while (!Entries_.empty())
      Entries_.pop_back();
  }

  /// Makes a service and registers it. Throws ServiceNameTaken.
  template <class T, class... Args>
  T &add(const std::string &Name, Args &&...A) {
    if (indexOf(Name) != Entries_.size())
      raise(ServiceNameTaken(Name));
    auto Service = std::make_shared<T>(std::forward<Args>(A)...);
    T &Result = *Service;
    Entries_.push_back({Name, typeid(T), Service, dumperOf(Result)});
    return Result;
  }

  /// The service with this name and type. Throws NoSuchService.
  template <class T> T &find(std::string_view Name) const {
    const auto I = indexOf(Name);
    if (I == Entries_.size() || Entries_[I].Type_ != typeid(T))
      raise(NoSuchService(std::string(Name)));
    return *static_cast<T *>(Entries_[I].Service_.get());
  }

  /// The state of each service that can show it, in order of registration.
  std::vector<std::pair<std::string, std::string>> dump() const {
    std::vector<std::pair<std::string, std::string>> Parts;
    for (const Entry &E : Entries_)
      if (E.Dump_)
        Parts.emplace_back(E.Name_, E.Dump_());
    return Parts;
  }

private:
  struct Entry {
    std::string Name_;
    std::type_index Type_;
    std::shared_ptr<void> Service_;
    std::function<std::string()> Dump_;
  };

  template <class T>
  static std::function<std::string()> dumperOf(const T &Service) {
    if constexpr (Dumpable<T>)
      return [&Service] { return std::string(Service.dump()); };
    else
      return nullptr;
  }

  std::size_t indexOf(std::string_view Name) const {
    std::size_t I = 0;
    while (I != Entries_.size() && Entries_[I].Name_ != Name)
      ++I;
    return I;
  }

  std::vector<Entry> Entries_;
};

} // namespace heathercross
