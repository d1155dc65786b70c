#include "oriolefall/core/duty_thread.hpp"

#include <memory>
#include <system_error>
#include <utility>

namespace oriolefall::core {

namespace {

using work_type = std::function<void()>;

void* run_work(void* argument)
{
    const std::unique_ptr<work_type> work(static_cast<work_type*>(argument));
    (*work)();
    return nullptr;
}

/// POSIX thread attributes with a stack size; RAII wrapper.
class thread_attributes
{
public:
    explicit thread_attributes(std::size_t stack_bytes)
    {
        pthread_attr_init(&value_);
        if (stack_bytes > 0)
            pthread_attr_setstacksize(&value_, stack_bytes);
    }
    thread_attributes(const thread_attributes&) = delete;
    thread_attributes& operator=(const thread_attributes&) = delete;
    ~thread_attributes()
    {
        pthread_attr_destroy(&value_);
    }

    [[nodiscard]] const pthread_attr_t* get() const
    {
        return &value_;
    }

private:
    pthread_attr_t value_{};
};

constexpr std::size_t max_name_length = 15;

} // namespace

duty_thread::duty_thread(const std::string& name, std::function<void()> work,
                         std::size_t stack_bytes)
{
    auto owned_work = std::make_unique<work_type>(std::move(work));
    const thread_attributes attributes(stack_bytes);
    const int error =
        pthread_create(&thread_, attributes.get(), run_work, owned_work.get());
    if (error != 0)
        throw std::system_error(error, std::generic_category(), name);
    static_cast<void>(owned_work.release());
    joinable_ = true;
    pthread_setname_np(thread_, name.substr(0, max_name_length).c_str());
}

duty_thread::duty_thread(duty_thread&& other) noexcept
    : thread_(other.thread_), joinable_(std::exchange(other.joinable_, false))
{
}

duty_thread::~duty_thread()
{
    join();
}

void duty_thread::join()
{
    if (std::exchange(joinable_, false))
        pthread_join(thread_, nullptr);
}

} // namespace oriolefall::core
