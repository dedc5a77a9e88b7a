"""Steps shared by all features."""

from behave import then, when
from behave.runner import Context


@when("the package is imported")
def import_package(context: Context) -> None:
    import briardock

    context.package = briardock


@then("it names its base error")
def base_error_is_public(context: Context) -> None:
    assert issubclass(context.package.BriardockError, Exception)
