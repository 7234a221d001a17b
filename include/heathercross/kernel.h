// A registry that owns the services of a process.
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

/// The name is not registered, or is registered with a different type.
class NoSuchService : public Error {
public:
  explicit NoSuchService(const std::string &Name)
      : Error("no service of the requested type is registered as " + Name) {}
  const char *code() const noexcept override { return "no-such-service"; }
};

/// The name is already registered.
class ServiceNameTaken : public Error {
public:
  explicit ServiceNameTaken(const std::string &Name)
      : Error("a service is already registered as " + Name) {}
  const char *code() const noexcept override { return "service-name-taken"; }
};

/// A service that can dump its state as a JSON object.
template <class T>
concept Dumpable = requires(const T &Service) {
  { Service.dump() } -> std::convertible_to<std::string>;
};

/// Owns the services of one process. Services are constructed in order of
/// registration and destroyed in reverse order; they look each other up by name
/// and type.
class Kernel {
public:
  Kernel() = default;
  Kernel(const Kernel &) = delete;
  Kernel &operator=(const Kernel &) = delete;
  ~Kernel() {
    while (!Registrations_.empty())
      Registrations_.pop_back();
  }

  /// Constructs and registers a service. Throws ServiceNameTaken.
  template <class T, class... Args>
  T &add(const std::string &Name, Args &&...Arguments) {
    if (indexOf(Name) != Registrations_.size())
      raise(ServiceNameTaken(Name));
    auto Service = std::make_shared<T>(std::forward<Args>(Arguments)...);
    T &Result = *Service;
    Registrations_.push_back({Name, typeid(T), Service, makeDumper(Result)});
    return Result;
  }

  /// Returns the service with this name and type. Throws NoSuchService.
  template <class T> T &find(std::string_view Name) const {
    const auto I = indexOf(Name);
    if (I == Registrations_.size() || Registrations_[I].Type_ != typeid(T))
      raise(NoSuchService(std::string(Name)));
    return *static_cast<T *>(Registrations_[I].Service_.get());
  }

  /// The name and state of each Dumpable service, in order of registration.
  std::vector<std::pair<std::string, std::string>> dump() const {
    std::vector<std::pair<std::string, std::string>> States;
    for (const Registration &E : Registrations_)
      if (E.Dump_)
        States.emplace_back(E.Name_, E.Dump_());
    return States;
  }

private:
  struct Registration {
    std::string Name_;
    std::type_index Type_;
    std::shared_ptr<void> Service_;
    std::function<std::string()> Dump_;
  };

  template <class T>
  static std::function<std::string()> makeDumper(const T &Service) {
    if constexpr (Dumpable<T>)
      return [&Service] { return std::string(Service.dump()); };
    else
      return nullptr;
  }

  std::size_t indexOf(std::string_view Name) const {
    std::size_t I = 0;
    while (I != Registrations_.size() && Registrations_[I].Name_ != Name)
      ++I;
    return I;
  }

  std::vector<Registration> Registrations_;
};

} // namespace heathercross
